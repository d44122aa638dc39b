#include "simulation_parts.hpp"

// Tasks that crash the worker that starts them, and what must hold for them.

namespace turmericswitch::workflow::testing
{

namespace
{

/// After three crashes under it a task may be started twice more.
constexpr std::uint32_t max_starts = 5;

/// Number of workers that must have crashed under a task that is given up.
constexpr std::uint32_t min_crashes = 2;

/// Time within which a new leader has had a report of each worker, and a leader
/// sees that a worker restarted.
constexpr core::duration contact_time = std::chrono::seconds(2);

} // namespace

void dispatch_simulation::choose_deadly_task(core::submit_workflow const& job)
{
    if (m_setup.deadly_percent == 0 || !chance(m_setup.deadly_percent))
    {
        return;
    }
    auto const& stages = job.description.stages;
    auto const stage = random_below(stages.size());
    m_deadly.insert(
        {job.workflow,
         0,
         static_cast<std::uint32_t>(stage),
         static_cast<std::uint32_t>(random_below(stages[stage].tasks))});
}

void dispatch_simulation::started(worker_host& host, core::task_run const& run)
{
    if (!m_deadly.contains(run.task) || host.is_down ||
        !host.model.running().contains(run.task))
    {
        return;
    }
    if (m_seen_crashes[run.task] >= max_starts)
    {
        fail("another start after " + std::to_string(m_seen_crashes[run.task]) +
             " crashes under " + core::to_string(run.task));
    }
    crash(host, run.task);
    if (!m_faults_off && chance(20))
    {
        elect();
    }
}

void dispatch_simulation::crash(worker_host& host, core::task_ref const& cause)
{
    // A crash counts if the leader and the sidecar were in touch all the time
    // from before it until the worker was back.
    bool const was_in_touch =
        !host.is_partitioned && m_now - m_elected_at >= contact_time;
    auto const is_in_touch = [this,
                              &host,
                              was_in_touch,
                              term = m_term,
                              sidecar = host.agent_life,
                              partitions = host.partitions]
    {
        return was_in_touch && m_term == term && host.agent_life == sidecar &&
               host.partitions == partitions;
    };
    ++m_crashes;
    for (auto const& [ref, run] : host.model.running())
    {
        ++m_crashes_under[ref];
    }
    host.is_down = true;
    schedule(between_ms(1000, 5000),
             [this, &host, is_in_touch, cause]
             {
                 host.is_down = false;
                 host.model.begin_life(m_now);
                 host.worker_life = ++m_last_life;
                 schedule(contact_time,
                          [this, is_in_touch, cause]
                          {
                              if (is_in_touch())
                              {
                                  ++m_seen_crashes[cause];
                              }
                          });
             });
}

void dispatch_simulation::check_failed_jobs()
{
    for (auto const& record : m_table.records())
    {
        if (record.state != core::workflow_state::failed ||
            record.reason.find("crashed under") == std::string::npos)
        {
            continue;
        }
        bool has_cause = false;
        for (auto const& [ref, crashes] : m_crashes_under)
        {
            has_cause = has_cause || (ref.workflow == record.workflow &&
                                      crashes >= min_crashes);
        }
        if (!has_cause)
        {
            fail("job " + record.workflow.value() +
                 " failed without cause: " + record.reason);
        }
    }
}

std::size_t dispatch_simulation::crashes() const noexcept
{
    return m_crashes;
}

} // namespace turmericswitch::workflow::testing
