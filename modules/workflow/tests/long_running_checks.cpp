#include "simulation_parts.hpp"

#include <algorithm>

// Long-running workflows in the simulation, and the invariant that they run.

namespace turmericswitch::workflow::testing
{

namespace
{

/// The first leader finds no recorded lease and must assume that an earlier one
/// granted the longest one, 10 s.
constexpr core::duration time_before_faults = std::chrono::seconds(12);
constexpr core::duration faulty_time = std::chrono::seconds(4);
constexpr core::duration calm_time = std::chrono::seconds(24);
constexpr int fault_phases = 5;
constexpr core::duration check_interval = std::chrono::milliseconds(100);

/// Longest time that a task may be without a run, if the other times passed.
constexpr core::duration longest_pause = std::chrono::seconds(9);
constexpr core::duration time_with_room = std::chrono::seconds(3);
constexpr core::duration time_without_fault = std::chrono::seconds(7);

/// Workers that must have room at the same time.
constexpr std::size_t workers_with_room = 2;

constexpr std::int64_t mebibyte = 1 << 20;

core::resources capacity_of(std::string const& worker)
{
    return profile(worker, worker_millicores).capacity;
}

} // namespace

void dispatch_simulation::submit_long_running()
{
    auto description =
        stage(1 + static_cast<std::uint32_t>(random_below(3)),
              static_cast<std::int64_t>(300 + random_below(1200)));
    description.need.memory = core::byte_count(
        static_cast<std::int64_t>(1 + random_below(40)) * mebibyte);
    description.constraints.max_per_worker =
        static_cast<std::uint32_t>(random_below(3));
    description.behaviour.long_running = true;
    auto const job =
        submission("s" + std::to_string(++m_long_running), {description});
    m_table.submit(job, queue(), m_now);
    choose_deadly_task(job);
}

void dispatch_simulation::cancel_long_running()
{
    for (std::uint64_t i = 1; i <= m_long_running; ++i)
    {
        m_table.cancel({core::queue_id("proofs"),
                        core::workflow_id("s" + std::to_string(i)),
                        {},
                        {}},
                       m_now);
    }
}

void dispatch_simulation::remove_worker(worker_host& host)
{
    if (host.is_gone || (m_removed_workers + 1) * 3 > m_hosts.size())
    {
        return;
    }
    ++m_removed_workers;
    host.is_gone = true;
    host.is_down = true;
}

void dispatch_simulation::fail_tasks(worker_host& host)
{
    host.fails_tasks = true;
    schedule(between_ms(1000, 4000), [&host] { host.fails_tasks = false; });
}

void dispatch_simulation::inject_lasting_fault()
{
    m_last_fault = m_now;
    auto& host = *m_hosts[random_below(m_hosts.size())];
    switch (random_below(4))
    {
    case 0:
        // A leader is often lost together with a worker.
        if (chance(50))
        {
            schedule(between_ms(0, 600), [this] { elect(); });
        }
        schedule(between_ms(0, 600), [this, &host] { remove_worker(host); });
        break;
    case 1:
        fail_tasks(host);
        break;
    case 2:
        for (auto const& each : m_hosts)
        {
            fail_tasks(*each);
        }
        break;
    default:
        inject_fault();
        break;
    }
}

void dispatch_simulation::schedule_fault_phase(core::duration begin)
{
    schedule(begin, [this] { m_faults_off = false; });
    for (core::duration at{}; at < faulty_time;
         at += std::chrono::milliseconds(500))
    {
        schedule(begin + at + between_ms(0, 400),
                 [this]
                 {
                     if (chance(50))
                     {
                         inject_lasting_fault();
                     }
                     if (m_setup.unhealthy_percent > 0 &&
                         chance(m_setup.unhealthy_percent))
                     {
                         make_some_unhealthy();
                     }
                 });
    }
    schedule(begin + faulty_time, [this] { end_faults(); });
}

void dispatch_simulation::end_faults()
{
    m_faults_off = true;
    m_last_fault = m_now;
    for (auto& each : m_hosts)
    {
        each->unanswered = 0;
        each->faults = {};
        each->is_partitioned = false;
        each->fails_tasks = false;
    }
}

std::string dispatch_simulation::simulate_long_running()
{
    constexpr core::duration round = faulty_time + calm_time;
    constexpr std::uint64_t services = 6;
    constexpr core::duration duration =
        time_before_faults + round * fault_phases;
    auto const end = m_now + duration;
    m_faults_off = true;
    for (std::uint64_t i = 0; i < services; ++i)
    {
        submit_long_running();
    }
    for (int i = 0; i < fault_phases; ++i)
    {
        schedule_fault_phase(time_before_faults + round * i);
    }
    for (core::duration at{}; at < duration; at += check_interval)
    {
        schedule(at,
                 [this]
                 {
                     check();
                     check_long_running();
                     if (chance(3))
                     {
                         submit();
                     }
                 });
    }
    run_events(end);
    for (auto& each : m_hosts)
    {
        ++each->agent_life;
    }
    return m_violation;
}

bool dispatch_simulation::has_room(worker_host const& host,
                                   stage_ref const& ref,
                                   core::stage_description const& stage) const
{
    if (host.is_down || host.is_partitioned || host.has_call_faults() ||
        host.fails_tasks)
    {
        return false;
    }
    auto free = capacity_of(host.name);
    std::uint32_t siblings = 0;
    for (auto const& [other_task, run] : host.model.running())
    {
        if (auto const* const other = m_table.find_stage(other_task))
        {
            free -= reserved_by(*other);
        }
        siblings += stage_of(other_task) == ref ? 1 : 0;
    }
    auto const most = stage.constraints.max_per_worker;
    return core::fits_in(reserved_by(stage), free) &&
           (most == 0 || siblings < most);
}

void dispatch_simulation::check_task(core::task_ref const& ref)
{
    auto const of_stage = stage_of(ref);
    std::size_t with_room = 0;
    for (auto const& host : m_hosts)
    {
        if (!host->is_down && host->model.running().contains(ref))
        {
            m_last_run[ref] = m_now;
            return;
        }
        auto const since = m_room_since.find({of_stage, host->name});
        with_room += since != m_room_since.end() &&
                             m_now - since->second >= time_with_room
                         ? 1
                         : 0;
    }
    auto const last = m_last_run.try_emplace(ref, m_now).first->second;
    if (m_now - last >= longest_pause &&
        m_now - m_last_fault >= time_without_fault &&
        with_room >= workers_with_room)
    {
        fail("long-running task " + core::to_string(ref) +
             " does not run although " + std::to_string(with_room) +
             " workers have room; " + describe(ref.workflow));
    }
}

void dispatch_simulation::check_long_running()
{
    for (auto const& host : m_hosts)
    {
        bool const is_faulty = host->is_partitioned ||
                               host->has_call_faults() || host->fails_tasks ||
                               (host->is_down && !host->is_gone);
        m_last_fault = is_faulty ? m_now : m_last_fault;
    }
    for (auto const& id : m_table.active())
    {
        auto const& stages = m_table.find(id)->description.stages;
        for (std::uint32_t number = 0; number < stages.size(); ++number)
        {
            auto const& stage = stages[number];
            if (!stage.behaviour.long_running)
            {
                continue;
            }
            stage_ref const ref{id, 0, number};
            for (auto const& host : m_hosts)
            {
                std::pair const key(ref, host->name);
                if (has_room(*host, ref, stage))
                {
                    m_room_since.try_emplace(key, m_now);
                }
                else
                {
                    m_room_since.erase(key);
                }
            }
            for (std::uint32_t i = 0; i < stage.tasks; ++i)
            {
                check_task({id, 0, number, i});
            }
        }
    }
}

} // namespace turmericswitch::workflow::testing
