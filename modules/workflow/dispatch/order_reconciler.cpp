#include "workflow/dispatch/order_reconciler.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

namespace
{

/// Orders are sent again after this time. It is longer than the effect of an
/// order takes to show in a report.
constexpr core::duration resend_after = std::chrono::milliseconds(1500);

/// Paces below full speed are repeated at this interval, because a worker may
/// execute an earlier, higher pace late.
constexpr core::duration repeat_pace_after = std::chrono::milliseconds(1500);

constexpr std::uint32_t full_pace = 100;

bool is_due(std::map<core::task_run, core::time_point>& sent,
            core::task_run const& run,
            core::time_point now)
{
    auto const [known, is_new] = sent.try_emplace(run, now);
    if (!is_new && now - known->second < resend_after)
    {
        return false;
    }
    known->second = now;
    return true;
}

bool has_ended(worker_view const& worker, core::task_run const& run)
{
    return std::any_of(worker.ended.begin(),
                       worker.ended.end(),
                       [&run](core::ended_run const& each)
                       { return each.run == run; }) ||
           std::find(worker.refused.begin(), worker.refused.end(), run) !=
               worker.refused.end();
}

} // namespace

order_reconciler::order_reconciler(workflow_table const& table) : m_table(table)
{
}

bool order_reconciler::should_run(core::task_run const& run,
                                  worker_view const& worker) const
{
    auto const* const workflow = m_table.find(run.task.workflow);
    return workflow != nullptr && !core::is_final(workflow->state) &&
           !m_evicting.contains(run) &&
           m_table.is_held(run, worker.profile.worker, worker.profile.life);
}

core::runtime_orders order_reconciler::take_due(core::time_point now,
                                                worker_view const& worker,
                                                pace_hook const& pace)
{
    core::runtime_orders orders;
    if (!worker.has_runs || worker.left)
    {
        return orders;
    }
    auto& sent = m_sent[worker.profile.worker];
    add_starts(now, worker, sent, orders);
    add_stops(now, worker, sent, orders);
    add_paces(now, worker, pace, sent, orders);
    return orders;
}

void order_reconciler::add_starts(core::time_point now,
                                  worker_view const& worker,
                                  sent_state& sent,
                                  core::runtime_orders& orders)
{
    auto const& held = m_table.held_on(worker.profile.worker);
    std::erase_if(sent.starts,
                  [&](auto const& item) {
                      return !held.contains({item.first, worker.profile.life});
                  });
    for (auto const& [run, life] : held)
    {
        if (life == worker.profile.life && should_run(run, worker) &&
            !worker.running.contains(run) && !has_ended(worker, run) &&
            is_due(sent.starts, run, now))
        {
            add_start(run, worker, orders);
        }
    }
}

void order_reconciler::add_start(core::task_run const& run,
                                 worker_view const& worker,
                                 core::runtime_orders& orders) const
{
    auto const& id = run.task.workflow;
    auto group = std::find_if(orders.starts.begin(),
                              orders.starts.end(),
                              [&id](core::start_group const& each)
                              { return each.workflow == id; });
    if (group == orders.starts.end())
    {
        orders.starts.push_back(
            {id, m_table.find(id)->description.payload, {}});
        group = std::prev(orders.starts.end());
    }
    group->starts.push_back(
        {run, m_table.find_task(run.task)->checkpoint, worker.granted_until});
}

void order_reconciler::add_stops(core::time_point now,
                                 worker_view const& worker,
                                 sent_state& sent,
                                 core::runtime_orders& orders)
{
    auto const& held = m_table.held_on(worker.profile.worker);
    std::erase_if(sent.stops,
                  [&](auto const& item)
                  {
                      return !worker.running.contains(item.first) &&
                             !held.contains({item.first, worker.profile.life});
                  });
    for (auto const& [run, task] : worker.running)
    {
        if (!should_run(run, worker) && is_due(sent.stops, run, now))
        {
            orders.stops.push_back(run);
        }
    }
    // Also stops runs that the worker does not list: their starts may still be
    // in flight.
    for (auto const& [run, life] : held)
    {
        if (life == worker.profile.life && !should_run(run, worker) &&
            !worker.running.contains(run) && !has_ended(worker, run) &&
            is_due(sent.stops, run, now))
        {
            orders.stops.push_back(run);
        }
    }
}

void order_reconciler::add_paces(core::time_point now,
                                 worker_view const& worker,
                                 pace_hook const& pace,
                                 sent_state& sent,
                                 core::runtime_orders& orders) const
{
    std::erase_if(sent.paces,
                  [&worker](auto const& item)
                  { return !worker.running.contains(item.first); });
    for (auto const& [run, task] : worker.running)
    {
        auto const* const stage = m_table.find_stage(run.task);
        if (stage == nullptr || !stage->behaviour.uses_spare_cpu ||
            !should_run(run, worker))
        {
            continue;
        }
        auto const wanted = pace(run);
        auto const [known, is_new] =
            sent.paces.try_emplace(run, sent_pace{full_pace, now});
        bool const is_unknown = is_new && !sent.has_sent_paces;
        bool const is_due =
            wanted < full_pace && now - known->second.sent > repeat_pace_after;
        if (known->second.percent != wanted || is_unknown || is_due)
        {
            known->second = {wanted, now};
            orders.paces.push_back({run, wanted});
        }
    }
    sent.has_sent_paces = true;
}

void order_reconciler::evict(core::task_run const& run)
{
    m_evicting.insert(run);
}

std::set<core::task_run> const& order_reconciler::evicting() const noexcept
{
    return m_evicting;
}

void order_reconciler::ended(core::task_run const& run)
{
    m_evicting.erase(run);
}

void order_reconciler::forget(core::worker_id const& worker)
{
    m_sent.erase(worker);
}

} // namespace turmericswitch::workflow
