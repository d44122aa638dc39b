#include "workflow/dispatch/sharing_control.hpp"

#include <algorithm>
#include <cmath>

namespace turmericswitch::workflow
{

namespace
{

/// Reports average over this time.
constexpr core::duration sample_time = std::chrono::milliseconds(500);

/// Part of its target above which a serving task's neighbours are slowed:
/// reports are half a second old, and the tail may go on rising for that long.
constexpr double slow_above = 0.9;

/// What a slow-down aims at.
constexpr double slow_to = 0.8;

/// A step up must leave every tail below this part of its target.
constexpr double speed_up_to = 0.8;

/// Effects below this are within the model's error.
constexpr double least_effect = 0.03;

constexpr std::uint32_t full_pace = 100;
constexpr std::uint32_t pace_step = 30;
/// A smaller share does hardly any work and still holds its memory.
constexpr std::uint32_t least_pace = 10;

/// A task that had to stand still for this long is better off elsewhere: a
/// move costs it less than a second.
constexpr core::duration stalled_after = std::chrono::milliseconds(1500);

/// Kept of the pace of every neighbour when the model knows none at fault.
constexpr std::uint32_t unexplained_cut_percent = 70;

/// Tasks on spare time that get less than this part of what they ask for show
/// that the spare time is used up.
constexpr std::int64_t scarce_below_percent = 85;
constexpr std::int64_t plenty_above_percent = 95;

/// Bounds of the estimate; serving tasks are sized for their peak.
constexpr std::int64_t least_use = 30;
constexpr std::int64_t most_use = 100;
constexpr std::int64_t use_step = 5;

} // namespace

double sharing_control::effect(serving_task const& on,
                               std::string const& image,
                               core::millicores used,
                               core::millicores capacity) const
{
    auto const share =
        static_cast<double>(used.value()) /
        static_cast<double>(std::max<std::int64_t>(capacity.value(), 1));
    return m_model.effect(on.image, {image, share});
}

void sharing_control::update(core::time_point now,
                             core::worker_id const& worker,
                             sharing_sample const& sample)
{
    auto& state = m_workers[worker];
    if (now - state.sampled < sample_time)
    {
        return;
    }
    state.sampled = now;
    learn(sample);
    update_use(state, sample);
    state.last = sample;
    std::erase_if(state.paces,
                  [&sample](auto const& item)
                  {
                      return std::none_of(sample.spare.begin(),
                                          sample.spare.end(),
                                          [&item](spare_task const& task)
                                          { return task.run == item.first; });
                  });
    auto const worst =
        std::max_element(sample.serving.begin(),
                         sample.serving.end(),
                         [](serving_task const& a, serving_task const& b)
                         { return a.tail < b.tail; });
    if (worst == sample.serving.end())
    {
        state.paces.clear();
    }
    else if (worst->tail > slow_above)
    {
        slow_down(state, *worst);
    }
    else
    {
        speed_up(state);
    }
    note_stalled(now, state);
}

void sharing_control::note_stalled(core::time_point now, worker_state& state)
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

std::vector<core::task_run>
sharing_control::stalled(core::time_point now,
                         core::worker_id const& worker) const
{
    std::vector<core::task_run> found;
    if (auto const known = m_workers.find(worker); known != m_workers.end())
    {
        for (auto const& [run, since] : known->second.stalled)
        {
            if (now - since >= stalled_after)
            {
                found.push_back(run);
            }
        }
    }
    return found;
}

void sharing_control::learn(sharing_sample const& sample)
{
    std::vector<neighbour_use> neighbours;
    auto const capacity =
        static_cast<double>(std::max<std::int64_t>(sample.capacity.value(), 1));
    for (auto const& task : sample.spare)
    {
        neighbours.push_back(
            {task.image, static_cast<double>(task.used.value()) / capacity});
    }
    for (auto const& task : sample.serving)
    {
        if (task.tail > 0)
        {
            m_model.learn(task.image, task.tail, neighbours);
        }
    }
}

void sharing_control::slow_down(worker_state& state,
                                serving_task const& task) const
{
    struct share
    {
        spare_task const* neighbour = nullptr;
        double caused = 0;
    };
    std::vector<share> shares;
    double explained = 0;
    for (auto const& neighbour : state.last.spare)
    {
        auto const caused =
            effect(task, neighbour.image, neighbour.used, state.last.capacity);
        explained += caused;
        shares.push_back({&neighbour, caused});
    }
    if (explained < least_effect)
    {
        slow_unknown(state, task);
        return;
    }
    // Those that disturb most for the work they do are slowed first, so that
    // the fewest have to wait.
    std::stable_sort(
        shares.begin(),
        shares.end(),
        [](share const& a, share const& b)
        {
            return a.caused * static_cast<double>(b.neighbour->used.value()) >
                   b.caused * static_cast<double>(a.neighbour->used.value());
        });
    double excess = std::log(task.tail / slow_to);
    for (auto const& [neighbour, caused] : shares)
    {
        if (excess <= 0 || caused / explained <= least_effect)
        {
            break;
        }
        auto& pace =
            state.paces.try_emplace(neighbour->run, full_pace).first->second;
        double const kept = std::clamp(1.0 - excess / caused, 0.0, 1.0);
        pace = static_cast<std::uint32_t>(pace * kept);
        pace = pace < least_pace ? 0 : pace;
        excess -= caused;
    }
}

void sharing_control::slow_unknown(worker_state& state,
                                   serving_task const& task) const
{
    for (auto const& neighbour : state.last.spare)
    {
        if (m_model.is_known(task.image, neighbour.image))
        {
            continue;
        }
        auto& pace =
            state.paces.try_emplace(neighbour.run, full_pace).first->second;
        pace = pace * unexplained_cut_percent / full_pace;
        pace = pace < least_pace ? 0 : pace;
    }
}

double sharing_control::worst_after(worker_state const& state,
                                    spare_task const& task,
                                    std::uint32_t pace) const
{
    auto const wanted = task.need.value() * pace / full_pace;
    auto const added =
        core::millicores(std::max<std::int64_t>(wanted - task.used.value(), 0));
    double worst = 0;
    for (auto const& serving : state.last.serving)
    {
        auto const raised =
            effect(serving, task.image, added, state.last.capacity);
        if (raised > least_effect)
        {
            worst = std::max(worst, serving.tail * std::exp(raised));
        }
    }
    return worst;
}

void sharing_control::speed_up(worker_state& state) const
{
    for (auto const& task : state.last.spare)
    {
        auto const known = state.paces.find(task.run);
        if (known == state.paces.end())
        {
            continue;
        }
        auto const next = std::min(known->second + pace_step, full_pace);
        if (worst_after(state, task, next) > speed_up_to)
        {
            continue;
        }
        known->second = next;
        // Steps of several tasks add up.
        for (auto& serving : state.last.serving)
        {
            serving.tail *= std::exp(effect(
                serving,
                task.image,
                core::millicores(std::max<std::int64_t>(
                    task.need.value() * next / full_pace - task.used.value(),
                    0)),
                state.last.capacity));
        }
    }
}

void sharing_control::update_use(worker_state& state,
                                 sharing_sample const& sample)
{
    std::int64_t asked = 0;
    std::int64_t used = 0;
    for (auto const& task : sample.spare)
    {
        // Only tasks that ran for the whole time of the report tell.
        auto const before = std::find_if(state.last.spare.begin(),
                                         state.last.spare.end(),
                                         [&task](spare_task const& each)
                                         { return each.run == task.run; });
        if (before == state.last.spare.end() || before->used.value() == 0 ||
            state.paces.contains(task.run))
        {
            continue;
        }
        asked += task.need.value();
        used += task.used.value();
    }
    if (asked == 0)
    {
        return;
    }
    auto const got = used * 100 / asked;
    if (got < scarce_below_percent)
    {
        state.serving_use = std::min(state.serving_use + use_step, most_use);
    }
    else if (got > plenty_above_percent)
    {
        state.serving_use = std::max(state.serving_use - use_step, least_use);
    }
}

std::uint32_t sharing_control::pace(core::worker_id const& worker,
                                    core::task_run const& run) const
{
    auto const known = m_workers.find(worker);
    if (known == m_workers.end())
    {
        return full_pace;
    }
    auto const pace = known->second.paces.find(run);
    return pace == known->second.paces.end() ? full_pace : pace->second;
}

double sharing_control::tail_with(core::worker_id const& worker,
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
        double raised = 0;
        for (auto const& [image, cpu] : added)
        {
            raised += effect(task, image, cpu, last.capacity);
        }
        worst = std::max(worst, task.tail * std::exp(raised));
    }
    return worst;
}

core::millicores sharing_control::growth(core::worker_id const& worker,
                                         core::task_run const& run,
                                         core::millicores need) const
{
    auto const known = m_workers.find(worker);
    if (known == m_workers.end())
    {
        return need;
    }
    auto const& spare = known->second.last.spare;
    auto const seen = std::find_if(spare.begin(),
                                   spare.end(),
                                   [&run](spare_task const& each)
                                   { return each.run == run; });
    auto const used = seen == spare.end() ? core::millicores() : seen->used;
    auto const wanted = need.value() * pace(worker, run) / full_pace;
    return core::millicores(std::max<std::int64_t>(wanted - used.value(), 0));
}

std::int64_t sharing_control::serving_use(core::worker_id const& worker) const
{
    auto const known = m_workers.find(worker);
    return known == m_workers.end() ? worker_state{}.serving_use
                                    : known->second.serving_use;
}

void sharing_control::forget(core::worker_id const& worker)
{
    m_workers.erase(worker);
}

} // namespace turmericswitch::workflow
