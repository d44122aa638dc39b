#include "cluster_state/tests/fake_cluster.hpp"

#include <algorithm>

namespace turmericswitch::cluster_state
{

using namespace core;

namespace
{

using namespace std::chrono_literals;

constexpr std::int64_t step_us = 10'000;
constexpr std::size_t worker_count = 4;
constexpr char const* rules_text = "zone a region=n # asked by A: test\n"
                                   "zone b region=n # asked by A: test\n"
                                   "never-share k0 k1 # asked by A: test\n"
                                   "limit k2 per-worker=2 # asked by A: test\n";

zone_id zone_of(std::size_t index)
{
    return zone_id(index % 2 == 0 ? "a" : "b");
}

} // namespace

fake_cluster::fake_cluster(std::uint64_t seed)
    : m_random(seeded_random(seed)),
      m_settings{.permit = 1s,
                 .batch_lease = 3s,
                 .service_lease = 5s,
                 // With the short timeout placements expire before a lost
                 // start order is sent again; with the long one they stay while
                 // their zone goes out of service.
                 .unsent_start_timeout =
                     random_below(m_random, 2) == 0 ? 300ms : 3000ms,
                 .drift_permille = 100,
                 .heartbeat_interval = 200ms},
      m_leases(m_settings)
{
    apply(apply_rules{operator_id("o"), {}, rules_text});
    for (std::size_t i = 0; i < worker_count; ++i)
    {
        auto& worker = m_workers.emplace_back();
        worker.description = {
            worker_id("w" + std::to_string(i)),
            incarnation(1),
            {zone_of(i), region_id("n")},
            rack_id("r"),
            {millicores(4000), byte_count(4000), accelerator_count(1)}};
        worker.clock_rate = 0.9 + 0.2 * random_unit(m_random);
    }
    m_state.observe_holds(
        [this](held_task const& task, bool is_held)
        {
            is_held ? m_leases.add_placement(task, leader_now())
                    : m_leases.remove(task);
        });
    elect();
}

std::int64_t
fake_cluster::progress_of(std::optional<checkpoint_id> const& checkpoint)
{
    return checkpoint ? std::stoll(checkpoint->value()) : 0;
}

std::uint64_t fake_cluster::below(std::uint64_t limit)
{
    return random_below(m_random, limit);
}

bool fake_cluster::chance(std::uint64_t percent)
{
    return below(100) < percent;
}

std::int64_t fake_cluster::local_time(fake_worker const& worker) const
{
    return static_cast<std::int64_t>(static_cast<double>(m_now) *
                                     worker.clock_rate);
}

time_point fake_cluster::leader_now() const
{
    auto const now = static_cast<double>(m_now) * m_leader_clock_rate;
    return time_point(duration(static_cast<std::int64_t>(now)));
}

void fake_cluster::schedule(std::int64_t delay, std::function<void()> action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void fake_cluster::deliver(std::function<void()> const& action)
{
    int const copies = !m_faults ? 1 : chance(15) ? 0 : chance(10) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        bool const is_late = m_faults && chance(10);
        schedule(static_cast<std::int64_t>(below(is_late ? 4'000'000 : 20'000)),
                 action);
    }
}

void fake_cluster::propose(std::vector<command_body> commands,
                           std::function<void()> then)
{
    auto const number = ++m_proposals;
    m_pending[number] = {std::move(commands), std::move(then)};
    schedule(static_cast<std::int64_t>(below(m_faults ? 400'000 : 5'000)),
             [this, number]
             {
                 // The log is ordered: earlier proposals are committed first.
                 while (!m_pending.empty() &&
                        m_pending.begin()->first <= number)
                 {
                     auto const next = std::move(m_pending.begin()->second);
                     m_pending.erase(m_pending.begin());
                     for (auto const& command : next.commands)
                     {
                         apply(command);
                     }
                     if (next.then)
                     {
                         next.then();
                     }
                 }
             });
}

void fake_cluster::apply(command_body body)
{
    command_envelope envelope;
    envelope.cluster_time = time_point(duration(m_now));
    envelope.body = std::move(body);
    m_state.apply(log_index(++m_index), envelope);
    if (auto const* const change = std::get_if<set_zone>(&envelope.body))
    {
        track_zone(change->zone, change->state);
    }
}

void fake_cluster::track_zone(zone_id const& zone, zone_state state)
{
    if (state == zone_state::in_service)
    {
        m_out_since.erase(zone);
        return;
    }
    m_out_since.emplace(zone, m_now);
}

void fake_cluster::elect()
{
    // A random prefix of the old leader's log survives, its answers do not.
    for (; !m_pending.empty() && chance(60); m_pending.erase(m_pending.begin()))
    {
        for (auto const& command : m_pending.begin()->second.commands)
        {
            apply(command);
        }
    }
    m_pending.clear();
    m_leader_clock_rate = 0.9 + 0.2 * random_unit(m_random);
    m_leases = lease_table(m_settings);
    m_service = std::make_unique<heartbeat_service>(m_leases);
    m_leases.begin_term(m_state.held_tasks(), leader_now());
}

void fake_cluster::run(duration with_faults)
{
    auto const end = with_faults.count();
    auto const last = end + 120'000'000;
    while (m_now < last)
    {
        m_now += step_us;
        while (!m_events.empty() && m_events.begin()->first <= m_now)
        {
            auto const action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        if (m_faults && m_now >= end)
        {
            m_faults = false;
            set_zones(zone_state::in_service);
        }
        step();
    }
    for (auto const& [id, job] : m_state.jobs().all())
    {
        if (!is_final(job.state) || job.hold)
        {
            add_violation("liveness", id);
        }
    }
}

void fake_cluster::step()
{
    if (m_faults)
    {
        inject_faults();
    }
    for (auto& worker : m_workers)
    {
        step_worker(worker);
    }
    if (m_now % 100'000 == 0)
    {
        place_waiting_jobs();
    }
    if (auto ended = m_leases.expire(leader_now());
        !ended.empty() && m_now % 200'000 == 0)
    {
        propose({expire_leases{std::move(ended)}}, {});
    }
    check_state();
}

void fake_cluster::inject_faults()
{
    if (below(40) == 0)
    {
        submit_job();
    }
    if (below(800) == 0)
    {
        elect();
    }
    if (below(600) == 0)
    {
        restart(m_workers[below(worker_count)]);
    }
    if (below(150) == 0)
    {
        // A worker without heartbeats: tasks placed on it wait for their start
        // orders while its zone may go out of service.
        constexpr std::int64_t longest_silence_us = 2'500'000;
        auto& worker = m_workers[below(worker_count)];
        worker.next_heartbeat =
            local_time(worker) +
            static_cast<std::int64_t>(below(longest_silence_us));
    }
    if (below(500) == 0)
    {
        set_zones(chance(50) ? zone_state::out_of_service
                             : zone_state::in_service);
    }
    auto const& running = m_state.jobs().in_state(job_state::running);
    if (below(30) == 0 && !running.empty())
    {
        auto const job = *running.begin();
        propose({placement_batch{
                    {}, {{job, m_state.jobs().find(job)->attempt, "t"}}, {}}},
                {});
    }
    if (below(300) == 0)
    {
        cancel_jobs newest;
        for (auto id = m_state.jobs().last_id();
             id > 0 && newest.jobs.size() < 6;
             --id)
        {
            newest.jobs.emplace_back(id);
        }
        propose({newest}, {});
    }
}

void fake_cluster::submit_job()
{
    submit_jobs command;
    job_description job;
    job.name = "j";
    job.team = team_id("t");
    job.kind = task_kind("k" + std::to_string(below(3)));
    job.priority = static_cast<priority_class>(below(3));
    job.declared = {millicores(1 + static_cast<std::int64_t>(below(2500))),
                    byte_count(static_cast<std::int64_t>(below(3000))),
                    accelerator_count(chance(20) ? 1 : 0)};
    command.jobs = {job};
    propose({command}, {});
}

void fake_cluster::set_zones(zone_state state)
{
    for (std::size_t i = 0; i < 2; ++i)
    {
        if (m_faults && chance(50))
        {
            continue;
        }
        zone_id const zone = zone_of(i);
        propose({set_zone{operator_id("o"), zone, state, "t"}}, {});
    }
}

void fake_cluster::place_waiting_jobs()
{
    placement_batch batch;
    for (auto const state : {job_state::queued, job_state::suspended})
    {
        for (auto const id : m_state.jobs().in_state(state))
        {
            auto const& job = *m_state.jobs().find(id);
            auto const& worker = m_workers[below(worker_count)];
            batch.placements.push_back({id,
                                        attempt_number(job.attempt.value() + 1),
                                        worker.description.worker,
                                        job.description.declared});
        }
    }
    propose({batch}, {});
}

void fake_cluster::check_start(fake_worker const& starting,
                               start_order const& order)
{
    resources used = order.reserved;
    for (auto const& worker : m_workers)
    {
        auto runs = worker.orphans;
        runs.insert(runs.end(), worker.tasks.begin(), worker.tasks.end());
        for (auto const& [job, run] : runs)
        {
            if (job == order.job)
            {
                add_violation("single execution", job);
            }
            used += &worker == &starting ? run.reserved : resources{};
        }
    }
    if (!fits_in(used, starting.description.capacity))
    {
        add_violation("capacity", order.job);
    }
    auto const out = m_out_since.find(starting.description.place.zone);
    // The permit as counted by a worker clock that is 10% slow, rounded up.
    auto const permit = m_settings.permit.count() * 112 / 100;
    if (out != m_out_since.end() && m_now > out->second + permit)
    {
        add_violation("zone out", order.job);
    }
    auto const* const job = m_state.jobs().find(order.job);
    if (job->state == job_state::finished)
    {
        add_violation("completed once", order.job);
    }
    if (job->attempt != order.attempt || job->checkpoint != order.checkpoint)
    {
        add_violation("resume from last checkpoint", order.job);
    }
}

void fake_cluster::check_state()
{
    for (auto const& [id, worker] : m_state.workers().all())
    {
        if (!fits_in(worker.committed, worker.record.description.capacity))
        {
            add_violation("capacity (committed)", {});
        }
    }
    for (auto const& [id, job] : m_state.jobs().all())
    {
        auto& progress = m_progress[id];
        if (progress_of(job.checkpoint) < progress)
        {
            add_violation("checkpoint goes back", id);
        }
        progress = progress_of(job.checkpoint);
        auto const known = m_final_states.find(id);
        if (known != m_final_states.end() && known->second != job.state)
        {
            add_violation("final stays final", id);
        }
        if (is_final(job.state))
        {
            m_final_states[id] = job.state;
        }
    }
}

void fake_cluster::add_violation(std::string const& invariant, job_id job)
{
    m_violations.push_back(invariant + ": job " + std::to_string(job.value()) +
                           " at " + std::to_string(m_now));
}

std::vector<std::string> const& fake_cluster::violations() const noexcept
{
    return m_violations;
}

std::size_t fake_cluster::finished() const
{
    return m_state.jobs().in_state(job_state::finished).size();
}

} // namespace turmericswitch::cluster_state
