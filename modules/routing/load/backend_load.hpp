#ifndef TURMERICSWITCH_ROUTING_LOAD_BACKEND_LOAD_HPP
#define TURMERICSWITCH_ROUTING_LOAD_BACKEND_LOAD_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <atomic>
#include <cstdint>

namespace turmericswitch::routing
{

/// Load of one incarnation of a backend server's sidecar as seen by this
/// gateway. Shared by all threads and by successive route tables.
class backend_load
{
public:
    /// Counts one more outstanding attempt.
    ///
    /// @return False when `limit` attempts are outstanding.
    bool try_acquire(std::uint32_t limit) noexcept;

    /// Undoes one successful `try_acquire`.
    void release() noexcept;

    /// Records the slots and queue places in use as reported by the sidecar,
    /// which include those of other gateways.
    void record_in_use(core::time_point now, std::uint32_t in_use) noexcept;

    /// Records the time from the send to the complete answer.
    void record_latency(core::duration latency) noexcept;

    /// Excludes the backend server until the route table has this revision.
    void exclude_until_revision(core::revision needed) noexcept;

    /// Excludes the backend server until a time. Use it when a refusal names
    /// no newer revision.
    void exclude_until(core::time_point end) noexcept;

    /// The sidecar has a new incarnation: excludes the old one for good.
    void retire() noexcept;

    /// @param table Revision of the route table.
    /// @return True unless excluded or retired.
    bool usable_at(core::time_point now, core::revision table) const noexcept;

    std::uint32_t outstanding() const noexcept;

    /// @return Outstanding attempts of this gateway plus those of others, if
    /// reported recently.
    std::uint32_t estimated_load(core::time_point now) const noexcept;

    /// @return Smoothed latency; zero until the first answer.
    core::duration latency() const noexcept;

private:
    std::atomic<std::uint32_t> m_outstanding{0};
    std::atomic<std::uint32_t> m_used_by_others{0};
    std::atomic<std::int64_t> m_reported_at{0};
    std::atomic<std::int64_t> m_latency{0};
    std::atomic<std::uint64_t> m_needed_revision{0};
    std::atomic<std::int64_t> m_excluded_until{0};
    std::atomic<bool> m_retired{false};
};

} // namespace turmericswitch::routing

#endif
