#include "workflow/dispatch/colocation_controller.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// Time over which the values in a report are averaged.
constexpr core::duration sample_time = std::chrono::milliseconds(500);

/// Part of a prediction error that is attributed to the task's own load. Loads
/// change within tens of seconds; samples arrive twice a second.
constexpr double offset_rate = 0.08;

/// Effects and loads change within seconds.
constexpr core::duration sample_validity = std::chrono::seconds(2);

/// A task with a pace of 0 for this long, which is in two samples, should move
/// to another worker: a move costs less of its work than a longer wait.
constexpr core::duration stalled_after = sample_time;

std::uint32_t pace_in(pace_state const& state, core::task_run const& run)
{
    auto const pace = state.paces.find(run);
    return pace == state.paces.end() ? full_pace : pace->second;
}

/// @return The task in the sample, or null.
best_effort_task const* find_best_effort(colocation_sample const& sample,
                                         core::task_run const& run)
{
    auto const found = std::find_if(sample.best_effort.begin(),
                                    sample.best_effort.end(),
                                    [&run](best_effort_task const& each)
                                    { return each.run == run; });
    return found == sample.best_effort.end() ? nullptr : &*found;
}

} // namespace

colocation_controller::colocation_controller(core::duration harm_limit)
    : m_controller(m_model, harm_limit)
{
}

void colocation_controller::share_by(rank_hook rank)
{
    m_rank = std::move(rank);
}

bool colocation_controller::is_sample_due(core::time_point now,
                                          core::worker_id const& worker) const
{
    auto const known = m_workers.find(worker);
    return known == m_workers.end() ||
           now - known->second.sampled >= sample_time;
}

std::vector<pace_change>
colocation_controller::update(core::time_point now,
                              core::worker_id const& worker,
                              colocation_sample const& sample)
{
    if (!is_sample_due(now, worker))
    {
        return {};
    }
    auto& state = m_workers[worker];
    state.sampled = now;
    learn(now, state, sample);
    state.serving_use.update(state.last,
                             sample,
                             [&state](core::task_run const& run)
                             { return pace_to_order(state, run) < full_pace; });
    state.last = sample;
    std::vector<std::uint32_t> before;
    before.reserve(sample.best_effort.size());
    for (auto const& task : sample.best_effort)
    {
        before.push_back(pace_to_order(state, task.run));
    }
    m_controller.decide(now, sample, state.paces);
    share(now, state);
    std::vector<pace_change> changes;
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        auto const& run = sample.best_effort[i].run;
        auto const pace = pace_to_order(state, run);
        if (pace != before[i])
        {
            changes.push_back({{run, pace}, before[i]});
        }
    }
    return changes;
}

std::vector<core::task_run>
colocation_controller::stalled(core::time_point now,
                               core::worker_id const& worker) const
{
    std::vector<core::task_run> found;
    if (auto const known = m_workers.find(worker); known != m_workers.end())
    {
        for (auto const& [run, since] : known->second.paces.stalled)
        {
            if (now - since >= stalled_after)
            {
                found.push_back(run);
            }
        }
    }
    return found;
}

void colocation_controller::share(core::time_point now,
                                  worker_state& state) const
{
    if (!m_rank)
    {
        return;
    }
    std::vector<overload::sharing_task> tasks;
    for (auto const& task : state.last.best_effort)
    {
        tasks.push_back({task.run,
                         m_rank(task.run),
                         task.need,
                         task.used,
                         pace_in(state.paces, task.run)});
    }
    state.sharing.update(now, state.last.capacity, tasks);
}

void colocation_controller::learn(core::time_point now,
                                  worker_state& state,
                                  colocation_sample const& sample)
{
    std::map<core::task_run, double> offsets;
    std::vector<neighbour_use> neighbours;
    auto const capacity =
        static_cast<double>(std::max<std::int64_t>(sample.capacity.value(), 1));
    for (auto const& task : sample.best_effort)
    {
        neighbours.push_back(
            {task.image, static_cast<double>(task.used.value()) / capacity});
    }
    for (auto const& task : sample.serving)
    {
        if (task.tail > 0)
        {
            auto const known = state.offsets.find(task.run);
            double const offset =
                known == state.offsets.end() ? 0.0 : known->second;
            double const error = m_model.learn(
                now, task.image, task.tail * std::exp(-offset), neighbours);
            offsets[task.run] = offset + offset_rate * error;
        }
    }
    state.offsets = std::move(offsets);
}

std::uint32_t colocation_controller::pace_to_order(worker_state const& state,
                                                   core::task_run const& run)
{
    return std::min(pace_in(state.paces, run), state.sharing.pace(run));
}

std::uint32_t
colocation_controller::pace_to_order(core::worker_id const& worker,
                                     core::task_run const& run) const
{
    auto const known = m_workers.find(worker);
    return known == m_workers.end() ? full_pace
                                    : pace_to_order(known->second, run);
}

std::uint32_t colocation_controller::pace(core::worker_id const& worker,
                                          core::task_run const& run) const
{
    auto const known = m_workers.find(worker);
    return known == m_workers.end() ? full_pace
                                    : pace_in(known->second.paces, run);
}

double colocation_controller::predicted_tail(core::worker_id const& worker,
                                             cpu_by_image const& added) const
{
    auto const known = m_workers.find(worker);
    double worst = 0;
    if (known == m_workers.end())
    {
        return worst;
    }
    auto const& last = known->second.last;
    for (auto const& task : last.serving)
    {
        double rise = 0;
        for (auto const& [image, cpu] : added)
        {
            rise += m_controller.effect(task, image, cpu, last.capacity);
        }
        worst = std::max(worst, task.tail * std::exp(rise));
    }
    return worst;
}

bool colocation_controller::is_effect_known(core::time_point now,
                                            core::worker_id const& worker,
                                            std::string const& image) const
{
    auto const known = m_workers.find(worker);
    return known != m_workers.end() &&
           std::any_of(known->second.last.serving.begin(),
                       known->second.last.serving.end(),
                       [&](serving_task const& task)
                       {
                           auto const sampled =
                               m_model.last_sample(task.image, image);
                           return sampled && now - *sampled < sample_validity;
                       });
}

core::millicores
colocation_controller::expected_growth(core::worker_id const& worker,
                                       core::task_run const& run,
                                       core::millicores need) const
{
    auto const known = m_workers.find(worker);
    if (known == m_workers.end())
    {
        return need;
    }
    auto const* const seen = find_best_effort(known->second.last, run);
    auto const used = seen == nullptr ? core::millicores() : seen->used;
    auto const wanted =
        need.value() * pace_to_order(known->second, run) / full_pace;
    return core::millicores(std::max<std::int64_t>(wanted - used.value(), 0));
}

bool colocation_controller::is_over_target_for_long(
    core::time_point now, core::worker_id const& worker) const
{
    auto const known = m_workers.find(worker);
    return known != m_workers.end() &&
           m_controller.is_over_target_for_long(now, known->second.paces);
}

std::int64_t
colocation_controller::serving_use(core::worker_id const& worker) const
{
    auto const known = m_workers.find(worker);
    return known == m_workers.end() ? serving_use_estimate().percent()
                                    : known->second.serving_use.percent();
}

void colocation_controller::forget(core::worker_id const& worker)
{
    m_workers.erase(worker);
}

} // namespace turmericswitch::workflow
