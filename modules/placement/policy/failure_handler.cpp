#include "placement/policy/failure_handler.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::placement
{

namespace
{

// A job that failed on this many healthy workers is at fault.
constexpr std::size_t failed_workers_to_stop_job = 3;
// A job is also at fault after this many failures on any number of workers.
constexpr unsigned failures_to_stop_job = 6;
// Failures of a job that already failed on this many workers don't count
// against further workers.
constexpr std::size_t failed_workers_to_suspect_job = 2;
constexpr core::duration first_retry = std::chrono::seconds(1);
constexpr unsigned max_retry_doublings = 5;
// A probe that has run this long is a success, because services never end.
constexpr core::duration probe_success_time = std::chrono::seconds(60);

std::string name_of(worker_entry const& worker)
{
    return "worker " + worker.description.worker.value();
}

} // namespace

failure_handler::failure_handler(planner_state& state,
                                 tick_decisions& decisions)
    : m_state(state), m_decisions(decisions)
{
}

void failure_handler::attempt_failed(core::time_point now, task_entry& task)
{
    auto const job = task.spec.job;
    auto const slot = task.slot;
    auto& worker = m_state.workers.worker(slot);
    bool const counts_against_worker =
        task.failed_slots.size() < failed_workers_to_suspect_job;
    if (worker.health == worker_health::probing && worker.probe == job)
    {
        start_quarantine(now, slot);
        return;
    }
    if (worker.health != worker_health::healthy)
    {
        return;
    }
    task.failed_slots.insert(slot);
    ++task.failures;
    auto const doublings = std::min(task.failures, max_retry_doublings);
    task.not_before = now + first_retry * (1 << doublings);
    if (m_state.failures.failed(now, slot, job, counts_against_worker))
    {
        start_quarantine(now, slot);
        return;
    }
    if (task.failed_slots.size() >= failed_workers_to_stop_job ||
        task.failures >= failures_to_stop_job)
    {
        m_faulty_jobs.insert(job);
    }
}

void failure_handler::start_quarantine(core::time_point now, std::size_t slot)
{
    auto& worker = m_state.workers.worker(slot);
    clear_failures_on(now, slot);
    auto const length = m_state.failures.quarantine(now, slot);
    worker.health = worker_health::quarantined;
    m_probing.erase(slot);
    m_state.workers.update_index(slot);
    auto const& name = worker.description.worker;
    m_decisions.quarantines.push_back({name, true});
    core::decision_record record;
    record.part = "placement";
    record.subject = name_of(worker);
    record.action = "quarantine";
    record.code = core::result_code::worker_quarantined;
    auto const seconds =
        std::chrono::duration_cast<std::chrono::seconds>(length);
    record.reasons = {"several jobs failed on it",
                      "probe in " + std::to_string(seconds.count()) + " s"};
    m_decisions.records.push_back(std::move(record));
}

void failure_handler::clear_failures_on(core::time_point now, std::size_t slot)
{
    for (auto const job : m_state.failures.jobs_failed_on(slot))
    {
        auto* task = m_state.workers.find(job);
        if (task != nullptr && task->failed_slots.erase(slot) > 0)
        {
            task->failures -= std::min(task->failures, 1U);
            task->not_before = now;
            m_faulty_jobs.erase(job);
        }
    }
}

void failure_handler::end_quarantine(std::size_t slot, char const* reason)
{
    auto& worker = m_state.workers.worker(slot);
    worker.health = worker_health::healthy;
    worker.probe.reset();
    m_probing.erase(slot);
    m_state.failures.forget(slot);
    m_state.workers.update_index(slot);
    m_decisions.quarantines.push_back({worker.description.worker, false});
    core::decision_record record;
    record.part = "placement";
    record.subject = name_of(worker);
    record.action = "return";
    record.reasons = {reason};
    m_decisions.records.push_back(std::move(record));
}

void failure_handler::run_probes(core::time_point now)
{
    for (auto const slot : m_state.failures.take_ended_quarantines(now))
    {
        auto& worker = m_state.workers.worker(slot);
        worker.health = worker_health::probing;
        worker.probe.reset();
        m_probing.insert(slot);
        m_state.workers.update_index(slot);
    }
    auto const probing = m_probing;
    for (auto const slot : probing)
    {
        auto const& worker = m_state.workers.worker(slot);
        auto* probe =
            worker.probe ? m_state.workers.find(*worker.probe) : nullptr;
        if (probe != nullptr && probe->phase == task_phase::running &&
            now - probe->placed_at >= probe_success_time)
        {
            end_quarantine(slot, "the probe task keeps running");
        }
    }
}

void failure_handler::task_finished(task_entry const& task)
{
    m_state.failures.succeeded(task.slot);
    if (m_state.workers.worker(task.slot).probe == task.spec.job)
    {
        end_quarantine(task.slot, "the probe task finished");
    }
}

void failure_handler::worker_removed(std::size_t slot)
{
    m_state.failures.forget(slot);
    m_probing.erase(slot);
}

void failure_handler::job_removed(core::job_id job)
{
    m_faulty_jobs.erase(job);
}

void failure_handler::stop_not_committed(core::job_id job)
{
    m_faulty_jobs.insert(job);
}

std::vector<core::job_id> failure_handler::take_faulty_queued_jobs()
{
    std::vector<core::job_id> queued;
    for (auto const job : m_faulty_jobs)
    {
        auto const* task = m_state.workers.find(job);
        if (task != nullptr && task->phase == task_phase::queued)
        {
            queued.push_back(job);
        }
    }
    for (auto const job : queued)
    {
        m_faulty_jobs.erase(job);
    }
    return queued;
}

} // namespace turmericswitch::placement
