#include "workflow/dispatch/serving_use_estimate.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

namespace
{

/// If even the best served best-effort task gets less than this part of its
/// request, the spare CPU was overestimated; above `plenty_above_percent` it
/// was underestimated. Values in reports are within about 5% of the truth.
constexpr std::int64_t scarce_below_percent = 85;
constexpr std::int64_t plenty_above_percent = 92;

/// Fewer tasks don't show a shortage: a single one may need less than it
/// requests.
constexpr int min_tasks_for_shortage = 2;

/// Bounds and step of the estimate, in percent. Requests are sized for peak
/// load, so the use is at most 100.
constexpr std::int64_t min_use = 30;
constexpr std::int64_t max_use = 100;
constexpr std::int64_t use_step = 5;

/// @return True if the task had used CPU in the sample, so that it ran for the
///         whole averaging time of the next one.
bool ran_in(colocation_sample const& sample, core::task_run const& run)
{
    return std::any_of(sample.best_effort.begin(),
                       sample.best_effort.end(),
                       [&run](best_effort_task const& each)
                       { return each.run == run && each.used.value() > 0; });
}

} // namespace

void serving_use_estimate::update(
    colocation_sample const& before,
    colocation_sample const& sample,
    std::function<bool(core::task_run const&)> const& is_slowed)
{
    constexpr std::int64_t percent = 100;
    int tasks = 0;
    std::int64_t best = 0;
    for (auto const& task : sample.best_effort)
    {
        if (task.need.value() == 0 || is_slowed(task.run) ||
            !ran_in(before, task.run))
        {
            continue;
        }
        ++tasks;
        best = std::max(best, task.used.value() * percent / task.need.value());
    }
    if (tasks > 0 && best > plenty_above_percent)
    {
        m_percent = std::max(m_percent - use_step, min_use);
    }
    else if (tasks >= min_tasks_for_shortage && best < scarce_below_percent)
    {
        m_percent = std::min(m_percent + use_step, max_use);
    }
}

std::int64_t serving_use_estimate::percent() const noexcept
{
    return m_percent;
}

} // namespace turmericswitch::workflow
