#ifndef TURMERICSWITCH_WORKFLOW_AGENT_WORKER_RUNTIME_HPP
#define TURMERICSWITCH_WORKFLOW_AGENT_WORKER_RUNTIME_HPP

#include "core/messages/workflow.hpp"

#include <functional>
#include <optional>
#include <string>

namespace turmericswitch::workflow
{

struct start_call
{
    core::worker_id worker;
    core::run_start start;
    std::string payload;
    std::uint64_t fencing_token = 0;
};

enum class start_outcome
{
    /// The run is there.
    started,
    /// The worker won't run it because of room, time or its own state.
    refused,
    /// An equal or later attempt was stopped or has ended there.
    already_ended,
    /// The worker knows a higher fencing token.
    stale_token,
    /// The worker has begun another life.
    wrong_incarnation,
    /// No answer: the worker may carry it out, also seconds later.
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

/// Extends the worker's lease, releases noted ends and asks for its lists.
struct sync_call
{
    core::worker_id worker;
    std::uint64_t fencing_token = 0;
    /// On the worker's clock; nothing leaves the lease as it is.
    std::optional<core::duration> lease_until;
    std::uint64_t acknowledged_ends = 0;
    /// How long the worker may wait for an end before it answers.
    core::duration wait{};
};

struct sync_result
{
    core::duration clock{};
    core::worker_runs runs;
    /// The life that answered, if the worker says so.
    std::optional<core::incarnation> life;
};

/// Calls to the runtime of the worker on the same instance. Every callback is
/// called exactly once, on the thread of the agent.
struct worker_runtime
{
    std::function<void(start_call, std::function<void(start_outcome)>)> start;
    /// The callback gets true if the worker has answered that it is stopped.
    std::function<void(stop_call, std::function<void(bool)>)> stop;
    std::function<void(pace_call, std::function<void(bool)>)> pace;
    std::function<void(sync_call,
                       std::function<void(std::optional<sync_result>)>)>
        sync;
};

} // namespace turmericswitch::workflow

#endif
