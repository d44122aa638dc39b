#ifndef TURMERICSWITCH_PLACEMENT_TESTS_FAKE_CLUSTER_HPP
#define TURMERICSWITCH_PLACEMENT_TESTS_FAKE_CLUSTER_HPP

#include "placement/placement.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericswitch::placement::testing
{

inline core::resources
amount(std::int64_t cpu, std::int64_t memory, std::int64_t accelerators = 0)
{
    return {core::millicores(cpu),
            core::byte_count(memory),
            core::accelerator_count(accelerators)};
}

/// The worker and reservation of a placed job.
struct placed_job
{
    core::worker_id worker;
    core::attempt_number attempt;
    core::resources reserved;
};

/// A planner with a simulated clock and the placements that it made; every
/// decision counts as committed.
class fake_cluster
{
public:
    explicit fake_cluster(planner_options options = {})
        : m_planner(std::move(options))
    {
    }

    planner& policy()
    {
        return m_planner;
    }

    core::time_point now() const
    {
        return m_now;
    }

    void add_worker(std::string const& name,
                    std::string const& zone = "a",
                    core::resources const& capacity = amount(8000, 8000, 1),
                    std::string const& rack = "r")
    {
        core::worker_description worker;
        worker.worker = core::worker_id(name);
        worker.place.zone = core::zone_id(zone);
        worker.rack = core::rack_id(rack);
        worker.capacity = capacity;
        m_planner.worker_changed(m_now, worker);
    }

    void add_job(std::uint64_t id,
                 core::resources const& need,
                 core::priority_class priority = core::priority_class::batch,
                 std::string const& kind = "k",
                 std::string const& team = "t",
                 std::optional<core::wall_time> deadline = {})
    {
        queued_job job;
        job.job = core::job_id(id);
        job.next_attempt = core::attempt_number(1);
        job.team = core::team_id(team);
        job.kind = core::task_kind(kind);
        job.priority = priority;
        job.declared = need;
        job.expected_run_time = std::chrono::minutes(10);
        job.deadline = deadline;
        jobs[job.job] = job;
        m_planner.job_queued(m_now, job);
    }

    /// Advances the clock, calls `tick` and reports the placements as started.
    tick_decisions tick(core::duration step = std::chrono::milliseconds(100))
    {
        m_now += step;
        core::wall_time const wall(m_now.time_since_epoch());
        auto decisions = m_planner.tick(m_now, wall);
        for (auto const& command : decisions.batch.placements)
        {
            running[command.job] = {
                command.worker, command.attempt, command.reserved};
            m_planner.job_started(m_now, command.job, command.attempt);
        }
        return decisions;
    }

    void finish(std::uint64_t id)
    {
        running.erase(core::job_id(id));
        m_planner.job_ended(m_now, core::job_id(id), terminal_state::finished);
    }

    /// Ends the attempt without a result and queues the job again.
    void requeue(std::uint64_t id)
    {
        core::job_id const job(id);
        auto again = jobs.at(job);
        auto const attempt = running.at(job).attempt.value();
        again.next_attempt = core::attempt_number(attempt + 1);
        running.erase(job);
        m_planner.job_queued(m_now, again);
    }

    void fail(std::uint64_t id)
    {
        core::job_id const job(id);
        m_planner.attempt_failed(m_now, job, running.at(job).attempt);
        requeue(id);
    }

    void report(std::uint64_t id,
                core::resources const& used,
                std::optional<std::uint32_t> slowdown_permille = {},
                core::duration age = std::chrono::seconds(30))
    {
        core::job_id const job(id);
        core::usage_sample sample;
        sample.job = job;
        sample.attempt = running.at(job).attempt;
        sample.age = age;
        sample.used = used;
        sample.slowdown_permille = slowdown_permille;
        m_planner.usage_reported(m_now, running.at(job).worker, sample);
    }

    std::string worker_of(std::uint64_t id) const
    {
        auto const found = running.find(core::job_id(id));
        return found == running.end() ? "" : found->second.worker.value();
    }

    std::map<core::job_id, queued_job> jobs;
    std::map<core::job_id, placed_job> running;

private:
    planner m_planner;
    core::time_point m_now{std::chrono::hours(24)};
};

} // namespace turmericswitch::placement::testing

#endif
