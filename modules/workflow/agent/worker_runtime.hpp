#ifndef TURMERICSWITCH_WORKFLOW_AGENT_WORKER_RUNTIME_HPP
#define TURMERICSWITCH_WORKFLOW_AGENT_WORKER_RUNTIME_HPP

#include "core/messages/workflow.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::workflow
{

/// A worker may execute a call that it has not answered until this long after
/// it was made, by whatever incarnation is up then.
constexpr core::duration longest_call_delay = std::chrono::seconds(12);

struct start_call
{
    core::worker_id worker;
    core::run_start start;
    std::string payload;
    std::uint64_t fencing_token = 0;
};

enum class start_outcome
{
    /// The worker has the run.
    started,
    /// This call had no effect: no capacity, an expired lease, or the worker's
    /// own state. An earlier call may have begun the run.
    refused,
    /// This attempt of the task, or a later one, has ended or was stopped
    /// there.
    already_ended,
    /// The worker has seen a higher fencing token.
    stale_token,
    /// The worker has restarted.
    wrong_incarnation,
    /// No answer, or one that proves nothing; the worker may have executed the
    /// call, or may still do so seconds later.
    unknown,
};

struct stop_call
{
    core::worker_id worker;
    core::task_run run;
    std::uint64_t fencing_token = 0;
};

struct pace_call
{
    core::worker_id worker;
    core::run_pace pace;
    std::uint64_t fencing_token = 0;
};

/// Extends the worker's lease, acknowledges ended runs, and asks for the lists
/// of running and ended runs.
///
/// A call names only the worker's id, which its next incarnation has too, and
/// both the lease and the acknowledgement would do harm there. So they are for
/// the incarnation that answered the last sync call: without the connection of
/// that answer, the call is made without them.
struct sync_call
{
    core::worker_id worker;
    std::uint64_t fencing_token = 0;
    /// On the worker's clock; `nullopt` leaves the lease unchanged.
    std::optional<core::duration> lease_until;
    /// The worker drops ended runs up to this number from its list. Zero if
    /// none is acknowledged.
    std::uint64_t acknowledged_ends = 0;
    /// How long the worker may delay its answer until a run ends.
    core::duration wait{};
};

/// A row of a worker's lists of runs that could not be read.
struct skipped_row
{
    /// True if it is of the list of ended runs.
    bool is_end = false;
    std::string why;
};

struct sync_result
{
    /// The worker's clock at the time of the answer.
    core::duration clock{};
    core::worker_runs runs;
    /// Incarnation of the worker that answered, if it is in the answer.
    std::optional<core::incarnation> life;
    /// Rows that are missing in `runs`.
    std::vector<skipped_row> skipped;
};

/// Calls to the runtime of the worker on the same instance. Every callback is
/// invoked exactly once, on the agent's thread.
struct worker_runtime
{
    std::function<void(start_call, std::function<void(start_outcome)>)> start;
    /// The callback gets true if the worker confirmed the stop.
    std::function<void(stop_call, std::function<void(bool)>)> stop;
    /// The callback gets true if the worker confirmed the pace.
    std::function<void(pace_call, std::function<void(bool)>)> pace;
    /// The callback gets `nullopt` if the call failed.
    std::function<void(sync_call,
                       std::function<void(std::optional<sync_result>)>)>
        sync;
};

} // namespace turmericswitch::workflow

#endif
