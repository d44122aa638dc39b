#include "tests/planner_sync_fixture.hpp"

#include <iterator>

namespace turmericswitch::control::testing
{

namespace
{

core::duration const finish_step = std::chrono::seconds(1);

} // namespace

void planner_sync_fixture::apply_random_events(int steps)
{
    for (int i = 0; i < 4; ++i)
    {
        add_worker("w" + std::to_string(i), i % 2 == 0 ? "a" : "b");
    }
    for (int i = 0; i < steps; ++i)
    {
        random_event();
        check();
        if (!planner->has_pending_batch())
        {
            tick(std::chrono::milliseconds(100 + below(2000)));
        }
        else if (below(2) == 0)
        {
            below(4) == 0 ? reject_batch() : apply_batch();
        }
    }
}

void planner_sync_fixture::random_event()
{
    switch (below(10))
    {
    case 0:
    case 1:
    case 2:
        submit(amount(100 + static_cast<std::int64_t>(below(9000)),
                      static_cast<std::int64_t>(below(5000))),
               "k" + std::to_string(below(4)));
        return;
    case 3:
        apply(core::cancel_jobs{
            {core::job_id(1 + below(state.jobs().last_id() + 1))}});
        return;
    case 4:
        random_worker_event();
        return;
    case 5:
        set_zone(below(2) == 0 ? "a" : "b",
                 below(3) == 0 ? core::zone_state::out_of_service
                               : core::zone_state::in_service);
        return;
    case 6:
        if (below(4) == 0)
        {
            replace_leader();
        }
        return;
    default:
        random_report();
    }
}

void planner_sync_fixture::random_worker_event()
{
    auto const name = "w" + std::to_string(below(5));
    core::worker_id const id(name);
    switch (below(4))
    {
    case 0:
        apply(core::retire_worker{id});
        return;
    case 1:
        silent.contains(id) ? (void)silent.erase(id) : (void)silent.insert(id);
        return;
    default:
        // With a pending batch, a worker that registers again with less
        // capacity may no longer hold what the batch places on it.
        if (!planner->has_pending_batch())
        {
            auto const cpu = 6000 + 1000 * static_cast<std::int64_t>(below(3));
            add_worker(name, below(2) == 0 ? "a" : "b", amount(cpu, 8000));
        }
    }
}

void planner_sync_fixture::random_report()
{
    auto const held = state.held_tasks();
    if (held.empty())
    {
        return;
    }
    auto const& task = held[below(held.size())];
    switch (below(8))
    {
    case 0:
        report(task.job, core::task_event::failed);
        return;
    case 1:
        report(task.job, core::task_event::stopped);
        return;
    case 2:
        report(task.job, core::task_event::checkpointed);
        return;
    case 3:
        report(task.job, core::task_event::finished);
        return;
    case 4:
        apply(core::expire_leases{{task}});
        return;
    case 5:
        report(task.job, core::task_event::refused);
        return;
    default:
        report(task.job, core::task_event::started);
    }
}

void planner_sync_fixture::finish_all_jobs(int ticks)
{
    silent.clear();
    apply_batch();
    set_zone("a", core::zone_state::in_service);
    set_zone("b", core::zone_state::in_service);
    add_worker("w8", "a");
    add_worker("w9", "b");
    for (int i = 0; i < ticks; ++i)
    {
        for (auto const& task : state.held_tasks())
        {
            auto const is_leaving =
                job(task.job).state == core::job_state::evicting ||
                core::is_final(job(task.job).state);
            report(task.job,
                   is_leaving ? core::task_event::stopped
                   : job(task.job).state == core::job_state::starting
                       ? core::task_event::started
                       : core::task_event::finished);
        }
        tick(finish_step);
        apply_batch();
        check();
        if (state.jobs().live_count() == 0)
        {
            return;
        }
    }
    for (auto const& [id, record] : state.jobs().all())
    {
        if (!core::is_final(record.state) && !record.hold)
        {
            violations.push_back("placed: job " + std::to_string(id.value()) +
                                 " still waits");
        }
    }
}

} // namespace turmericswitch::control::testing
