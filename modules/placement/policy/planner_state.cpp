#include "placement/policy/planner_state.hpp"

#include <cstdio>
#include <utility>

namespace turmericswitch::placement
{

core::decision_record job_record(core::job_id job,
                                 std::string action,
                                 std::string target,
                                 std::vector<std::string> reasons)
{
    core::decision_record record;
    record.part = "placement";
    record.subject = "job " + std::to_string(job.value());
    record.action = std::move(action);
    record.target = std::move(target);
    record.reasons = std::move(reasons);
    return record;
}

std::string two_decimals(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

void evict(task_entry& task,
           std::string const& reason,
           worker_entry const& worker,
           tick_decisions& decisions)
{
    task.phase_before_stop = task.phase;
    task.phase = task_phase::evicting;
    core::evict_task command;
    command.job = task.spec.job;
    command.attempt = task.attempt;
    command.reason = reason;
    decisions.batch.evictions.push_back(command);
    decisions.records.push_back(
        job_record(task.spec.job,
                   "evict",
                   "worker " + worker.description.worker.value(),
                   {reason}));
}

double eviction_cost(core::time_point now, task_entry const& task)
{
    auto const seconds =
        static_cast<double>((now - task.checkpointed_at).count()) / 1e6;
    return seconds * static_cast<double>(task.reserved.cpu.value()) / 1000;
}

} // namespace turmericswitch::placement
