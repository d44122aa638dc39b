#ifndef TURMERICSWITCH_ADMISSION_HISTORY_ATTEMPT_HISTORY_HPP
#define TURMERICSWITCH_ADMISSION_HISTORY_ATTEMPT_HISTORY_HPP

#include "core/results/result_code.hpp"
#include "core/types/ids.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace turmericswitch::admission
{

/// How an attempt ended.
struct attempt_end
{
    /// True if the attempt may have reached the backend server.
    bool ran = false;
    core::result_code code = core::result_code::ok;
};

enum class attempt_status : std::uint8_t
{
    /// This attempt has not been seen before.
    fresh,
    /// The attempt has ended and its end is in the history.
    ended,
    /// The attempt may have ended, but its end is no longer in the history.
    forgotten,
    /// The gateway is unknown and no more gateways can be tracked.
    gateway_refused,
};

/// Records ended attempts in bounded memory, so that no duplicate of an attempt
/// runs after the attempt has ended.
///
/// For each gateway it also keeps the highest sequence number whose end was
/// evicted. An attempt at or below it that isn't in the history counts as
/// forgotten and must not run. These numbers are never evicted; they are
/// bounded by refusing gateways beyond `max_gateways`.
class attempt_history
{
public:
    /// @param max_attempts Maximum number of ended attempts kept, above 0.
    /// @param max_gateways Maximum number of gateway incarnations, above 0.
    attempt_history(std::size_t max_attempts, std::size_t max_gateways);

    /// @return Whether the attempt is new, ended, forgotten or refused.
    attempt_status find(core::attempt_id const& id) const;

    /// @return The end of the attempt if `find` returns `ended`, else nothing.
    std::optional<attempt_end> end_of(core::attempt_id const& id) const;

    /// Tracks the gateway of a fresh attempt before it starts or waits.
    void track_gateway(core::attempt_id const& id);

    /// Records the end of an attempt and evicts the oldest one if needed.
    void record(core::attempt_id const& id, attempt_end const& end);

    /// @return Number of recorded ends, for metrics.
    std::size_t size() const noexcept;

private:
    void evict_oldest();

    std::size_t m_max_attempts;
    std::size_t m_max_gateways;
    std::map<core::attempt_id, attempt_end> m_ends;
    std::deque<core::attempt_id> m_oldest_first;
    std::map<core::incarnation, core::sequence_number> m_forgotten_up_to;
};

} // namespace turmericswitch::admission

#endif
