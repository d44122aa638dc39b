#include "routing/load/backend_load.hpp"

#include <algorithm>
#include <cassert>

namespace turmericswitch::routing
{

namespace
{

// After this time a report no longer counts towards the load.
constexpr core::duration report_lifetime = std::chrono::milliseconds(200);
// The weight of a new sample is 1/8, as in TCP's round-trip time estimate.
constexpr std::int64_t smoothing = 8;

std::int64_t micros(core::time_point at) noexcept
{
    return at.time_since_epoch().count();
}

} // namespace

bool backend_load::try_acquire(std::uint32_t limit) noexcept
{
    auto taken = m_outstanding.load(std::memory_order_relaxed);
    while (taken < limit)
    {
        if (m_outstanding.compare_exchange_weak(
                taken, taken + 1, std::memory_order_relaxed))
        {
            return true;
        }
    }
    return false;
}

void backend_load::release() noexcept
{
    [[maybe_unused]] auto const before =
        m_outstanding.fetch_sub(1, std::memory_order_relaxed);
    assert(before > 0);
}

void backend_load::record_in_use(core::time_point now,
                                 std::uint32_t in_use) noexcept
{
    auto const own = outstanding();
    m_used_by_others.store(in_use > own ? in_use - own : 0,
                           std::memory_order_relaxed);
    m_reported_at.store(micros(now), std::memory_order_relaxed);
}

void backend_load::record_latency(core::duration latency) noexcept
{
    auto const sample = std::max<std::int64_t>(latency.count(), 1);
    auto old = m_latency.load(std::memory_order_relaxed);
    auto next = sample;
    do
    {
        next = old == 0 ? sample : old + (sample - old) / smoothing;
    } while (
        !m_latency.compare_exchange_weak(old, next, std::memory_order_relaxed));
}

void backend_load::exclude_until_revision(core::revision needed) noexcept
{
    auto old = m_needed_revision.load(std::memory_order_relaxed);
    while (old < needed.value() &&
           !m_needed_revision.compare_exchange_weak(
               old, needed.value(), std::memory_order_relaxed))
    {
    }
}

void backend_load::exclude_until(core::time_point end) noexcept
{
    m_excluded_until.store(micros(end), std::memory_order_relaxed);
}

void backend_load::retire() noexcept
{
    m_retired.store(true, std::memory_order_relaxed);
}

bool backend_load::usable_at(core::time_point now,
                             core::revision table) const noexcept
{
    return !m_retired.load(std::memory_order_relaxed) &&
           m_excluded_until.load(std::memory_order_relaxed) <= micros(now) &&
           m_needed_revision.load(std::memory_order_relaxed) <= table.value();
}

std::uint32_t backend_load::outstanding() const noexcept
{
    return m_outstanding.load(std::memory_order_relaxed);
}

std::uint32_t backend_load::estimated_load(core::time_point now) const noexcept
{
    auto const age =
        micros(now) - m_reported_at.load(std::memory_order_relaxed);
    auto const others = age < report_lifetime.count()
                            ? m_used_by_others.load(std::memory_order_relaxed)
                            : 0;
    return outstanding() + others;
}

core::duration backend_load::latency() const noexcept
{
    return core::duration(m_latency.load(std::memory_order_relaxed));
}

} // namespace turmericswitch::routing
