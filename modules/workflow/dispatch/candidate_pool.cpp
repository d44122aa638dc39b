#include "workflow/dispatch/candidate_pool.hpp"

#include <utility>

namespace turmericswitch::workflow
{

candidate_pool::candidate_pool(workflow_table const& table,
                               worker_fleet const& fleet,
                               colocation_controller const& colocation)
    : m_table(table), m_fleet(fleet), m_colocation(colocation)
{
}

void candidate_pool::mark_changed(core::worker_id const& worker)
{
    m_changed.insert(worker);
}

std::uint64_t candidate_pool::computed_workers() const noexcept
{
    return m_computed;
}

void candidate_pool::update()
{
    if (auto changed = m_table.changed_workers().read(m_read))
    {
        m_changed.merge(*changed);
    }
    else
    {
        for (auto const& [worker, view] : m_fleet.all())
        {
            m_changed.insert(worker);
        }
    }
    for (auto const& worker : std::exchange(m_changed, {}))
    {
        if (auto const* const view = m_fleet.find(worker))
        {
            compute(*view);
        }
    }
}

void candidate_pool::compute(worker_view const& view)
{
    ++m_computed;
    auto const& id = view.profile.worker;
    candidate_worker worker;
    worker.worker = id;
    worker.life = view.profile.life;
    worker.service = view.profile.service;
    worker.rack = view.profile.rack;
    worker.zone = view.profile.zone;
    worker.labels = view.profile.labels;
    worker.capacity = view.profile.capacity;
    worker.free = worker.capacity;
    worker.spare = worker.capacity.cpu;
    worker.serving_use_percent = m_colocation.serving_use(id);
    for (auto const& [run, life] : m_table.held_on(id))
    {
        // Includes runs of earlier incarnations: they keep their capacity until
        // their ends are committed.
        auto const* const stage = m_table.find_stage(run.task);
        if (stage == nullptr)
        {
            continue;
        }
        worker.add(stage_of(run.task), *stage, m_colocation.pace(id, run));
        if (life == view.profile.life && !m_fleet.is_established(id, life, run))
        {
            worker.add_not_established(run.task.workflow,
                                       suspicion_after(core::possible_crashes(
                                           *m_table.find_task(run.task))));
        }
        if (stage->behaviour.uses_spare_cpu)
        {
            worker.planned[stage->behaviour.image] +=
                m_colocation.expected_growth(id, run, stage->need.cpu);
        }
    }
    keep_for_late_starts(view, worker);
    if (!worker.has_no_new_run_of_others(worker.isolated_for))
    {
        // The suspect was placed as an overdue one.
        worker.isolated_for = {};
    }
    m_candidates.insert_or_assign(id, std::move(worker));
}

void candidate_pool::keep_for_late_starts(worker_view const& view,
                                          candidate_worker& worker) const
{
    core::resources late;
    for (auto const& run : view.unresolved_starts)
    {
        auto const* const stage = m_table.find_stage(run.task);
        if (stage != nullptr && !m_table.held_incarnation(run, worker.worker))
        {
            late += reserved_by(*stage);
        }
    }
    if (late == core::resources{})
    {
        return;
    }
    core::resources at_work;
    for (auto const& [run, life] : m_table.held_on(worker.worker))
    {
        auto const* const stage = m_table.find_stage(run.task);
        if (stage != nullptr && view.running.contains(run))
        {
            at_work += reserved_by(*stage);
        }
    }
    worker.free -= core::component_max(late - at_work, {});
}

std::vector<candidate_worker*>
candidate_pool::collect(core::time_point now, eligible_hook const& is_eligible)
{
    update();
    std::vector<candidate_worker*> eligible;
    // Both maps are in the order of the ids.
    auto const& views = m_fleet.all();
    auto view = views.begin();
    for (auto candidate = m_candidates.begin();
         candidate != m_candidates.end();)
    {
        auto& [id, worker] = *candidate;
        while (view != views.end() && view->first < id)
        {
            ++view;
        }
        if (view == views.end() || view->first != id)
        {
            candidate = m_candidates.erase(candidate);
            continue;
        }
        if (is_eligible(view->second))
        {
            worker.closed_to_best_effort =
                m_colocation.is_over_target_for_long(now, id);
            eligible.push_back(&worker);
        }
        ++candidate;
    }
    return eligible;
}

} // namespace turmericswitch::workflow
