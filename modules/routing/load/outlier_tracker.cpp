#include "routing/load/outlier_tracker.hpp"

#include <algorithm>

namespace turmericswitch::routing
{

namespace
{

constexpr std::uint32_t failures_to_eject = 5;
constexpr core::duration base_backoff = std::chrono::seconds(1);
constexpr core::duration max_backoff = std::chrono::seconds(30);
// The next probe may start after this time even if the last has no result.
constexpr core::duration probe_interval = std::chrono::seconds(1);

std::int64_t micros(core::time_point at) noexcept
{
    return at.time_since_epoch().count();
}

std::int64_t backoff(std::uint32_t ejections) noexcept
{
    auto const doublings = std::min<std::uint32_t>(ejections, 5);
    return std::min(base_backoff * (1 << doublings), max_backoff).count();
}

} // namespace

void outlier_tracker::succeeded() noexcept
{
    m_failures.store(0, std::memory_order_relaxed);
    m_ejections.store(0, std::memory_order_relaxed);
    m_next_probe.store(0, std::memory_order_relaxed);
}

void outlier_tracker::failed(core::time_point now) noexcept
{
    auto const failures =
        m_failures.fetch_add(1, std::memory_order_relaxed) + 1;
    if (failures < failures_to_eject)
    {
        return;
    }
    // Attempts sent before the ejection may fail during it, which must not
    // extend the backoff.
    auto const due = m_next_probe.load(std::memory_order_relaxed);
    bool const probing = due != 0 && failures > failures_to_eject;
    if (probing && micros(now) + probe_interval.count() < due)
    {
        return;
    }
    auto const ejections = m_ejections.fetch_add(1, std::memory_order_relaxed);
    m_next_probe.store(micros(now) + backoff(ejections),
                       std::memory_order_relaxed);
}

bool outlier_tracker::ejected() const noexcept
{
    return m_next_probe.load(std::memory_order_relaxed) != 0;
}

bool outlier_tracker::probe_due(core::time_point now) const noexcept
{
    auto const due = m_next_probe.load(std::memory_order_relaxed);
    return due != 0 && due <= micros(now);
}

bool outlier_tracker::try_probe(core::time_point now) noexcept
{
    auto due = m_next_probe.load(std::memory_order_relaxed);
    return due != 0 && due <= micros(now) &&
           m_next_probe.compare_exchange_strong(due,
                                                micros(now) +
                                                    probe_interval.count(),
                                                std::memory_order_relaxed);
}

core::time_point outlier_tracker::next_probe() const noexcept
{
    return core::time_point(
        core::duration(m_next_probe.load(std::memory_order_relaxed)));
}

} // namespace turmericswitch::routing
