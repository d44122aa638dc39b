#ifndef TURMERICSWITCH_OVERLOAD_EVICT_VICTIM_CHOICE_HPP
#define TURMERICSWITCH_OVERLOAD_EVICT_VICTIM_CHOICE_HPP

#include "core/messages/workflow.hpp"
#include "overload/account/job_account.hpp"

#include <vector>

namespace turmericswitch::overload
{

/// A running task that may be evicted.
struct eviction_candidate
{
    core::task_run run;
    /// Of the task's job.
    std::uint32_t priority = 0;
    prospect expected = prospect::in_time;
    core::millicores cpu;
    /// Work that the eviction loses: the time since the last checkpoint.
    core::duration since_checkpoint{};
    /// True if the task resumes from checkpoints.
    bool checkpoints = false;
    bool is_gang = false;
    /// True if a task of the job was evicted before.
    bool was_evicted = false;
};

/// The job that needs the capacity.
struct eviction_claim
{
    std::uint32_t priority = 0;
    prospect expected = prospect::in_time;
};

/// Chooses what may be evicted for a job: work of a worse priority, or of the
/// same priority and a worse prospect. Members of gangs, tasks without
/// checkpoints, and, for a job of the same priority, jobs that were evicted
/// before are never chosen. A job that can't be in time takes nothing.
///
/// @return The candidates that may be evicted, cheapest first.
std::vector<eviction_candidate>
choose_victims(eviction_claim const& claim,
               std::vector<eviction_candidate> candidates);

} // namespace turmericswitch::overload

#endif
