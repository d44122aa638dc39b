#include "placement/policy/failure_handler.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::placement
{

namespace
{

// A job that failed on this many workers without other trouble is at fault.
constexpr std::size_t workers_to_blame_job = 3;
// The same on few workers: this many failures in all.
constexpr unsigned failures_to_blame_job = 6;
// A failure elsewhere on this many workers says more about the job.
constexpr std::size_t workers_to_suspect_job = 2;
constexpr core::duration first_retry = std::chrono::seconds(1);
constexpr unsigned max_retry_doublings = 5;
// A probe that runs this long counts as a success; services never end.
constexpr core::duration good_run = std::chrono::seconds(60);
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
    bool const counts = task.failed_slots.size() < workers_to_suspect_job;
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
    if (m_state.failures.failed(now, slot, job, counts))
    {
        start_quarantine(now, slot);
        return;
    }
    if (task.failed_slots.size() >= workers_to_blame_job ||
        task.failures >= failures_to_blame_job)
    {
        m_faulty_jobs.insert(job);
    }
}

void failure_handler::start_quarantine(core::time_point now, std::size_t slot)
{
    auto& worker = m_state.workers.worker(slot);
    take_back_failures(now, slot);
    auto const length = m_state.failures.quarantine(now, slot);
    worker.health = worker_health::quarantined;
    m_probing.erase(slot);
    m_state.workers.refresh(slot);
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

void failure_handler::take_back_failures(core::time_point now, std::size_t slot)
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
    m_state.workers.refresh(slot);
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
    for (auto const slot : m_state.failures.due(now))
    {
        auto& worker = m_state.workers.worker(slot);
        worker.health = worker_health::probing;
        worker.probe.reset();
        m_probing.insert(slot);
        m_state.workers.refresh(slot);
    }
    auto const probing = m_probing;
    for (auto const slot : probing)
    {
        auto const& worker = m_state.workers.worker(slot);
        auto* probe =
            worker.probe ? m_state.workers.find(*worker.probe) : nullptr;
        if (probe != nullptr && probe->phase == task_phase::running &&
            now - probe->placed_at >= good_run)
        {
            end_quarantine(slot, "the probe runs well");
        }
    }
}

void failure_handler::task_finished(task_entry const& task)
{
    m_state.failures.succeeded(task.slot);
    if (m_state.workers.worker(task.slot).probe == task.spec.job)
    {
        end_quarantine(task.slot, "the probe finished");
    }
}

void failure_handler::worker_gone(std::size_t slot)
{
    m_state.failures.forget(slot);
    m_probing.erase(slot);
}

void failure_handler::job_gone(core::job_id job)
{
    m_faulty_jobs.erase(job);
}

void failure_handler::blame_again(core::job_id job)
{
    m_faulty_jobs.insert(job);
}

std::vector<core::job_id> failure_handler::take_faulty_queued()
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
