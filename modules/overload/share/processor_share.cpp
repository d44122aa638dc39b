#include "overload/share/processor_share.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace turmericswitch::overload
{

namespace
{

constexpr std::uint32_t full_pace = 100;
constexpr std::int64_t percent = 100;

/// Paces are multiples of this, so that small changes of the available CPU send
/// no orders.
constexpr std::int64_t pace_step = 10;

/// Tasks that get less than this part of what they request are short of CPU.
constexpr std::int64_t short_below_percent = 85;

/// Tasks that use this part of what they were given could use more.
constexpr std::int64_t full_above_percent = 95;

/// Raise of the available CPU after a sample that used all of it, in percent of
/// the worker's CPU.
constexpr std::int64_t raise_percent = 5;

/// A total use below this part of the use before the paces means that the paces
/// leave CPU unused.
constexpr std::int64_t unused_below_percent = 90;

/// Time without paces to see whether they leave CPU unused. Samples are half a
/// second apart and half a second old.
constexpr core::duration trial_time = std::chrono::milliseconds(1200);

/// A total use above this part of the use with paces shows that these left CPU
/// unused.
constexpr std::int64_t gained_above_percent = 110;

/// Time without paces after they left CPU unused. It bounds the part of the
/// time in which tasks that can't use their requests are slowed for nothing.
constexpr core::duration lift_time = std::chrono::seconds(10);

std::int64_t demand_of(sharing_task const& task)
{
    return task.need.value() * task.allowed_pace / full_pace;
}

} // namespace

processor_shares share_processor(core::millicores available,
                                 std::vector<sharing_task> tasks)
{
    std::sort(tasks.begin(),
              tasks.end(),
              [](sharing_task const& a, sharing_task const& b)
              { return std::tie(a.rank, a.run) < std::tie(b.rank, b.run); });
    processor_shares shares;
    auto left = std::max<std::int64_t>(available.value(), 0);
    bool is_first = true;
    for (auto const& task : tasks)
    {
        auto const demand = demand_of(task);
        // The first task shares with no better one.
        if (task.rank && demand > left && !is_first)
        {
            // Rounded up: the sum of the paces leaves no CPU unused.
            auto const per_step = task.need.value() * pace_step;
            auto const steps = (left * percent + per_step - 1) / per_step;
            auto const pace = std::min(steps * pace_step, percent);
            shares[task.run] = static_cast<std::uint32_t>(pace);
        }
        left -= std::min(left, demand);
        is_first = false;
    }
    return shares;
}

processor_sharing::use
processor_sharing::measure(std::vector<sharing_task> const& tasks) const
{
    use seen;
    for (auto const& task : tasks)
    {
        auto const known = m_granted.find(task.run);
        seen.needed += demand_of(task);
        // Skips tasks that did not run for the whole time of the report.
        if (known != m_granted.end())
        {
            seen.granted += known->second;
            seen.used += task.used.value();
        }
    }
    return seen;
}

void processor_sharing::adapt(core::time_point now,
                              core::millicores capacity,
                              use const& seen)
{
    if (seen.granted == 0 || now < m_lifted_until)
    {
        return;
    }
    if (auto const used = std::exchange(m_used_before_trial, std::nullopt);
        used && seen.used * percent > *used * gained_above_percent)
    {
        m_lifted_until = now + lift_time;
        return;
    }
    bool const is_short =
        seen.used * percent < seen.granted * short_below_percent;
    if (!m_available)
    {
        if (is_short)
        {
            m_available = core::millicores(seen.used);
            m_used_before = seen.used;
        }
        return;
    }
    if (is_short && seen.used * percent < m_used_before * unused_below_percent)
    {
        m_available.reset();
        m_used_before_trial = seen.used;
        m_lifted_until = now + trial_time;
        return;
    }
    if (is_short)
    {
        m_available = core::millicores(seen.used);
    }
    else if (seen.used * percent >= seen.granted * full_above_percent)
    {
        m_used_before = seen.used;
        *m_available +=
            core::millicores(capacity.value() * raise_percent / percent);
    }
    if (m_available->value() >= seen.needed)
    {
        m_available.reset();
    }
}

void processor_sharing::update(core::time_point now,
                               core::millicores capacity,
                               std::vector<sharing_task> const& tasks)
{
    adapt(now, capacity, measure(tasks));
    m_shares =
        m_available ? share_processor(*m_available, tasks) : processor_shares{};
    m_granted.clear();
    for (auto const& task : tasks)
    {
        m_granted[task.run] = task.need.value() *
                              std::min(pace(task.run), task.allowed_pace) /
                              full_pace;
    }
}

std::uint32_t processor_sharing::pace(core::task_run const& run) const
{
    auto const share = m_shares.find(run);
    return share == m_shares.end() ? full_pace : share->second;
}

std::optional<core::millicores> processor_sharing::available() const noexcept
{
    return m_available;
}

} // namespace turmericswitch::overload
