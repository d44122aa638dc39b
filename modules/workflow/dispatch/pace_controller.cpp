#include "workflow/dispatch/pace_controller.hpp"

#include <algorithm>
#include <cmath>

namespace turmericswitch::workflow
{

namespace
{

/// Neighbours are slowed when a serving task's tail is above this fraction of
/// its target. It is below 1 because a report is half a second old, and the
/// tail may have risen since.
constexpr double slow_down_above = 0.9;

/// Fraction of the target to which a slow-down is meant to lower the tail.
constexpr double slow_down_to = 0.8;

/// A step up must leave every tail below this fraction of its target.
constexpr double speed_up_limit = 0.8;

/// Smaller effects are within the model's error.
constexpr double min_effect = 0.03;

constexpr std::uint32_t pace_step = 30;
/// A task with a smaller pace is stopped: it would make hardly any progress and
/// still hold its memory.
constexpr std::uint32_t min_pace = 10;

/// Factor for the paces of neighbours that the model does not know yet, used
/// when no known neighbour explains the tail.
constexpr double unknown_neighbour_scale = 0.7;

/// After this part of the harm limit over the target, neighbours are stopped
/// unless the model is sure that they are harmless.
constexpr std::int64_t distrust_percent = 25;

/// After this part of the harm limit the model is not trusted at all. The rest
/// covers reports that are up to a second apart and half a second old, and the
/// delay of orders.
constexpr std::int64_t stop_all_percent = 40;

/// A tail above this multiple of its target that remains without any neighbour
/// is due to the task's own load.
constexpr double own_load_tail = 1.1;
constexpr std::int64_t percent = 100;

template <typename Container>
bool has_run(Container const& tasks, core::task_run const& run)
{
    return std::any_of(tasks.begin(),
                       tasks.end(),
                       [&run](auto const& each) { return each.run == run; });
}

void remove_ended_runs(colocation_sample const& sample, pace_state& state)
{
    std::erase_if(state.paces,
                  [&sample](auto const& item)
                  { return !has_run(sample.best_effort, item.first); });
    std::erase_if(state.over_target_since,
                  [&sample](auto const& item)
                  { return !has_run(sample.serving, item.first); });
}

/// @return True if no best-effort task did any work in the time of the sample.
bool are_neighbours_idle(colocation_sample const& sample)
{
    return std::all_of(sample.best_effort.begin(),
                       sample.best_effort.end(),
                       [](best_effort_task const& task)
                       { return task.used.value() == 0; });
}

void update_over_target(core::time_point now,
                        colocation_sample const& sample,
                        pace_state& state)
{
    bool const is_own_load = are_neighbours_idle(sample);
    for (auto const& task : sample.serving)
    {
        if (task.tail > 1 && is_own_load)
        {
            // The task is over its target without its neighbours, so they have
            // not harmed it so far.
            state.over_target_since.insert_or_assign(task.run, now);
        }
        else if (task.tail > 1)
        {
            state.over_target_since.try_emplace(
                task.run,
                state.last_sample == core::time_point() ? now
                                                        : state.last_sample);
        }
        // Samples are noisy: one just below the target does not show that the
        // tail has come down, so the entry stays until it is well below.
        else if (task.tail <= slow_down_above)
        {
            state.over_target_since.erase(task.run);
        }
    }
}

void update_stalled(core::time_point now, pace_state& state)
{
    std::map<core::task_run, core::time_point> stalled;
    for (auto const& [run, pace] : state.paces)
    {
        if (pace == 0)
        {
            auto const since = state.stalled.find(run);
            stalled[run] = since == state.stalled.end() ? now : since->second;
        }
    }
    state.stalled = std::move(stalled);
}

double scale_of(std::map<core::task_run, double> const& scales,
                core::task_run const& run)
{
    auto const known = scales.find(run);
    return known == scales.end() ? 1.0 : known->second;
}

void apply_scales(std::map<core::task_run, double> const& scales,
                  pace_state& state)
{
    for (auto const& [run, share] : scales)
    {
        auto& pace = state.paces.try_emplace(run, full_pace).first->second;
        pace = static_cast<std::uint32_t>(pace * share);
        pace = pace < min_pace ? 0 : pace;
    }
}

} // namespace

pace_controller::pace_controller(interference_model const& model,
                                 core::duration harm_limit)
    : m_model(model), m_harm_limit(harm_limit)
{
}

double pace_controller::effect(serving_task const& on,
                               std::string const& image,
                               core::millicores used,
                               core::millicores capacity) const
{
    auto const share =
        static_cast<double>(used.value()) /
        static_cast<double>(std::max<std::int64_t>(capacity.value(), 1));
    return m_model.effect(on.image, {image, share});
}

void pace_controller::decide(core::time_point now,
                             colocation_sample const& sample,
                             pace_state& state) const
{
    remove_ended_runs(sample, state);
    update_over_target(now, sample, state);
    auto by_tail = sample.serving;
    std::stable_sort(by_tail.begin(),
                     by_tail.end(),
                     [](serving_task const& a, serving_task const& b)
                     { return a.tail > b.tail; });
    pace_scales scales;
    for (auto const& task : by_tail)
    {
        if (task.tail > slow_down_above)
        {
            slow_down_for(task, sample, scales);
        }
    }
    bool const stopped_all = stop_distrusted(now, sample, state, scales);
    apply_scales(scales, state);
    if (by_tail.empty())
    {
        state.paces.clear();
    }
    else if (!stopped_all)
    {
        speed_up(sample, scales, state);
    }
    update_stalled(now, state);
    state.last_sample = now;
}

bool pace_controller::is_over_target_for_long(core::time_point now,
                                              pace_state const& state) const
{
    return std::any_of(
        state.over_target_since.begin(),
        state.over_target_since.end(),
        [&](auto const& item)
        { return is_part_of_limit_over(now, item.second, stop_all_percent); });
}

bool pace_controller::is_part_of_limit_over(core::time_point now,
                                            core::time_point since,
                                            std::int64_t part_percent) const
{
    return (now - since) * percent >= m_harm_limit * part_percent;
}

bool pace_controller::stop_distrusted(core::time_point now,
                                      colocation_sample const& sample,
                                      pace_state const& state,
                                      pace_scales& scales) const
{
    bool stopped_all = false;
    for (auto const& task : sample.serving)
    {
        auto const since = state.over_target_since.find(task.run);
        if (since == state.over_target_since.end() ||
            !is_part_of_limit_over(now, since->second, distrust_percent))
        {
            continue;
        }
        bool const stops_all =
            is_part_of_limit_over(now, since->second, stop_all_percent);
        for (auto const& neighbour : sample.best_effort)
        {
            if (stops_all || !is_harmless(task, neighbour, sample.capacity))
            {
                scales[neighbour.run] = 0;
            }
        }
        stopped_all = stopped_all || stops_all;
    }
    return stopped_all;
}

bool pace_controller::is_harmless(serving_task const& task,
                                  best_effort_task const& neighbour,
                                  core::millicores capacity) const
{
    return m_model.is_known(task.image, neighbour.image) &&
           effect(task, neighbour.image, neighbour.need, capacity) < min_effect;
}

void pace_controller::slow_down_for(serving_task const& task,
                                    colocation_sample const& sample,
                                    pace_scales& scales) const
{
    struct contribution
    {
        best_effort_task const* neighbour = nullptr;
        double present_effect = 0;
    };
    std::vector<contribution> contributions;
    double total_effect = 0;
    double excess = std::log(task.tail / slow_down_to);
    for (auto const& neighbour : sample.best_effort)
    {
        auto const full_effect =
            effect(task, neighbour.image, neighbour.used, sample.capacity);
        auto const present_effect =
            full_effect * scale_of(scales, neighbour.run);
        total_effect += full_effect;
        // Slow-downs for other serving tasks lower this tail too.
        excess -= full_effect - present_effect;
        contributions.push_back({&neighbour, present_effect});
    }
    if (total_effect < min_effect)
    {
        slow_down_unknown(task, sample, scales);
        return;
    }
    if (task.tail * std::exp(-total_effect) > own_load_tail)
    {
        // Slower neighbours would not bring the task below its target.
        return;
    }
    // Slows the neighbours with the largest effect per CPU used first, so that
    // as few as possible are slowed.
    std::stable_sort(
        contributions.begin(),
        contributions.end(),
        [](contribution const& a, contribution const& b)
        {
            return a.present_effect *
                       static_cast<double>(b.neighbour->used.value()) >
                   b.present_effect *
                       static_cast<double>(a.neighbour->used.value());
        });
    for (auto const& [neighbour, present_effect] : contributions)
    {
        if (excess <= 0 || present_effect / total_effect <= min_effect)
        {
            break;
        }
        scales[neighbour->run] =
            scale_of(scales, neighbour->run) *
            std::clamp(1.0 - excess / present_effect, 0.0, 1.0);
        excess -= present_effect;
    }
}

void pace_controller::slow_down_unknown(serving_task const& task,
                                        colocation_sample const& sample,
                                        pace_scales& scales) const
{
    for (auto const& neighbour : sample.best_effort)
    {
        if (!m_model.is_known(task.image, neighbour.image))
        {
            scales[neighbour.run] = std::min(scale_of(scales, neighbour.run),
                                             unknown_neighbour_scale);
        }
    }
}

double pace_controller::worst_tail_after(colocation_sample const& sample,
                                         best_effort_task const& task,
                                         core::millicores added) const
{
    double worst = 0;
    for (auto const& serving : sample.serving)
    {
        auto const rise = effect(serving, task.image, added, sample.capacity);
        if (rise > min_effect)
        {
            worst = std::max(worst, serving.tail * std::exp(rise));
        }
    }
    return worst;
}

void pace_controller::speed_up(colocation_sample sample,
                               pace_scales const& scales,
                               pace_state& state) const
{
    for (auto const& task : sample.best_effort)
    {
        auto const known = state.paces.find(task.run);
        if (known == state.paces.end() || scales.contains(task.run))
        {
            continue;
        }
        bool const is_safe =
            std::all_of(sample.serving.begin(),
                        sample.serving.end(),
                        [&](serving_task const& serving) {
                            return is_harmless(serving, task, sample.capacity);
                        });
        auto const next = is_safe
                              ? full_pace
                              : std::min(known->second + pace_step, full_pace);
        auto const added = core::millicores(std::max<std::int64_t>(
            task.need.value() * next / full_pace - task.used.value(), 0));
        if (worst_tail_after(sample, task, added) > speed_up_limit)
        {
            continue;
        }
        known->second = next;
        // The next steps must account for this one.
        for (auto& serving : sample.serving)
        {
            serving.tail *=
                std::exp(effect(serving, task.image, added, sample.capacity));
        }
    }
}

} // namespace turmericswitch::workflow
