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

/// How an attempt ended, as far as the sidecar can prove it.
struct attempt_end
{
    /// True when the attempt may have reached the backend server.
    bool ran = false;
    core::result_code code = core::result_code::ok;
};

enum class attempt_status : std::uint8_t
{
    /// This attempt has not been seen before.
    fresh,
    /// The attempt has ended and its end is remembered.
    ended,
    /// The attempt may have ended, but its end is no longer remembered.
    forgotten,
    /// The gateway is unknown and no more gateways can be tracked.
    gateway_refused,
};

/// Remembers ended attempts in bounded memory, so that no copy of an attempt
/// runs after the attempt has ended.
///
/// When an end is evicted, the floor of its gateway rises to the evicted
/// sequence number. An attempt at or below the floor that isn't remembered
/// counts as forgotten and must not run. Floors are never evicted; their
/// number is bounded by refusing gateways beyond `max_gateways`.
class attempt_history
{
public:
    /// @param max_ends Number of ended attempts remembered, above 0.
    /// @param max_gateways Number of gateway incarnations tracked, above 0.
    attempt_history(std::size_t max_ends, std::size_t max_gateways);

    /// @return What is known about the attempt.
    attempt_status find(core::attempt_id const& id) const;

    /// @return The end of the attempt, when `find` says `ended`.
    std::optional<attempt_end> end_of(core::attempt_id const& id) const;

    /// Tracks the gateway of a fresh attempt before it starts or waits.
    void track(core::attempt_id const& id);

    /// Remembers the end of an attempt and evicts the oldest end if needed.
    void remember(core::attempt_id const& id, attempt_end const& end);

    /// @return Number of ends held, for metrics.
    std::size_t size() const noexcept;

private:
    void evict_oldest();

    std::size_t m_max_ends;
    std::size_t m_max_gateways;
    std::map<core::attempt_id, attempt_end> m_ends;
    std::deque<core::attempt_id> m_order;
    std::map<core::incarnation, core::sequence_number> m_floors;
};

} // namespace turmericswitch::admission

#endif
