#ifndef TURMERICSWITCH_ROUTING_LOAD_BACKEND_LOAD_HPP
#define TURMERICSWITCH_ROUTING_LOAD_BACKEND_LOAD_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <atomic>
#include <cstdint>

namespace turmericswitch::routing
{

/// Load of one life of one backend server as this gateway sees it. Shared by
/// all threads; survives table changes.
class backend_load
{
public:
    /// Takes one place unless `limit` are taken.
    ///
    /// @return False when the limit is reached.
    bool try_acquire(std::uint32_t limit) noexcept;

    /// Gives the place of `try_acquire` back.
    void release() noexcept;

    /// Records slots and queue places in use at the sidecar, which include
    /// those of other gateways.
    void report(core::time_point now, std::uint32_t in_use) noexcept;

    /// Records the time from send to whole answer.
    void record_latency(core::duration latency) noexcept;

    /// Leaves the backend server out until the table has this revision.
    void exclude_until_revision(core::revision needed) noexcept;

    /// Leaves the backend server out until a time. Use it when a refusal
    /// gives no revision to wait for.
    void exclude_until(core::time_point end) noexcept;

    /// The sidecar has another incarnation, so this life is over.
    void retire() noexcept;

    /// @return True when a table of this revision may use it now.
    bool usable_at(core::time_point now, core::revision table) const noexcept;

    std::uint32_t outstanding() const noexcept;

    /// @return Own outstanding attempts and recently reported ones of others.
    std::uint32_t estimate(core::time_point now) const noexcept;

    /// @return Smoothed latency; zero until the first answer.
    core::duration latency() const noexcept;

private:
    std::atomic<std::uint32_t> m_outstanding{0};
    std::atomic<std::uint32_t> m_others{0};
    std::atomic<std::int64_t> m_reported_at{0};
    std::atomic<std::int64_t> m_latency{0};
    std::atomic<std::uint64_t> m_needed_revision{0};
    std::atomic<std::int64_t> m_excluded_until{0};
    std::atomic<bool> m_retired{false};
};

} // namespace turmericswitch::routing

#endif
