#include "tests/planner_sync_fixture.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::control::testing
{

namespace
{

constexpr char const* rules_text = "zone a region=n # asked by A: test\n"
                                   "zone b region=n # asked by A: test\n"
                                   "never-share k0 k1 # asked by A: test\n"
                                   "limit k2 per-worker=2 # asked by A: test\n";

} // namespace

core::resources amount(std::int64_t cpu, std::int64_t memory)
{
    return {core::millicores(cpu),
            core::byte_count(memory),
            core::accelerator_count(0)};
}

planner_sync_fixture::planner_sync_fixture(std::uint64_t seed)
    : m_random(core::seeded_random(seed))
{
    apply(core::apply_rules{core::operator_id("o"), {}, rules_text});
    replace_leader();
}

std::uint64_t planner_sync_fixture::below(std::uint64_t limit)
{
    return core::random_below(m_random, limit);
}

core::command_reply planner_sync_fixture::apply(core::command_body body)
{
    core::command_envelope envelope;
    envelope.cluster_time = now;
    envelope.wall = core::wall_time(now.time_since_epoch());
    envelope.body = std::move(body);
    auto reply = state.apply(core::log_index(++m_index), envelope);
    if (planner)
    {
        planner->applied(now, envelope.body, reply);
    }
    return reply;
}

core::job_id planner_sync_fixture::submit(core::resources const& declared,
                                          std::string const& kind)
{
    core::job_description job;
    job.name = "j";
    job.team = core::team_id("t");
    job.kind = core::task_kind(kind);
    job.declared = declared;
    job.expected_run_time = std::chrono::minutes(1);
    return apply(core::submit_jobs{{job}}).jobs.at(0);
}

void planner_sync_fixture::add_worker(std::string const& name,
                                      std::string const& zone,
                                      core::resources const& capacity)
{
    core::worker_description worker;
    worker.worker = core::worker_id(name);
    worker.life = core::incarnation(1);
    worker.place.zone = core::zone_id(zone);
    worker.rack = core::rack_id("r");
    worker.capacity = capacity;
    apply(core::register_worker{worker});
}

void planner_sync_fixture::report(core::job_id id, core::task_event event)
{
    auto const& record = job(id);
    core::task_report report{id, record.attempt, event, {}, {}, {}};
    if (event == core::task_event::checkpointed)
    {
        report.checkpoint = core::checkpoint_id("c");
    }
    auto const worker = record.hold->worker;
    auto const life = state.workers().find(worker)->record.description.life;
    apply(core::worker_reports{worker, life, {report}, ++m_reported});
}

void planner_sync_fixture::set_zone(std::string const& zone,
                                    core::zone_state to)
{
    apply(core::set_zone{
        core::operator_id("o"), core::zone_id(zone), to, "test"});
}

placement::tick_decisions planner_sync_fixture::tick(core::duration step)
{
    now += step;
    for (auto const& [id, worker] : state.workers().all())
    {
        if (!silent.contains(id))
        {
            planner->heartbeat_received(now, id, {});
        }
    }
    auto decisions =
        planner->tick(now, core::wall_time(now.time_since_epoch()));
    if (planner->has_pending_batch())
    {
        m_batch = decisions.batch;
    }
    return decisions;
}

void planner_sync_fixture::apply_batch()
{
    if (auto const batch = std::exchange(m_batch, std::nullopt))
    {
        check_dropped(*batch);
        apply(*batch);
        check();
    }
}

void planner_sync_fixture::reject_batch()
{
    if (auto const batch = std::exchange(m_batch, std::nullopt))
    {
        planner->batch_rejected(now, *batch);
        check();
    }
}

bool planner_sync_fixture::place(core::job_id id, int ticks)
{
    for (int i = 0; i < ticks && !job(id).hold; ++i)
    {
        tick();
        apply_batch();
    }
    return job(id).hold.has_value();
}

void planner_sync_fixture::replace_leader()
{
    if (m_batch && below(2) == 0)
    {
        apply(*m_batch);
    }
    m_batch.reset();
    planner = std::make_unique<planner_sync>(
        state, placement::planner_options{}, now);
    check();
}

core::job_record const& planner_sync_fixture::job(core::job_id id) const
{
    return *state.jobs().find(id);
}

void planner_sync_fixture::check_dropped(core::placement_batch const& batch)
{
    // Adds up the reservations of the batch per worker, as the state machine
    // will.
    std::map<core::worker_id, core::resources> added;
    for (auto const& order : batch.placements)
    {
        auto const* const worker = state.workers().find(order.worker);
        auto const* const record = state.jobs().find(order.job);
        if (worker == nullptr || record == nullptr ||
            core::is_final(record->state))
        {
            continue;
        }
        auto& sum = added[order.worker];
        sum = sum + order.reserved;
        if (!core::fits_in(worker->committed + sum,
                           worker->record.description.capacity))
        {
            violations.push_back("capacity: job " +
                                 std::to_string(order.job.value()) + " on " +
                                 order.worker.value());
        }
    }
}

void planner_sync_fixture::check()
{
    if (m_batch)
    {
        return;
    }
    for (auto const& [id, worker] : state.workers().all())
    {
        if (planner->reserved_on(id) != worker.committed)
        {
            violations.push_back("counts: worker " + id.value());
        }
    }
    if (planner->counts().workers != state.workers().all().size())
    {
        violations.emplace_back("counts: workers");
    }
}

} // namespace turmericswitch::control::testing
