#ifndef TURMERICSWITCH_ROUTING_FLOW_FLOW_TYPES_HPP
#define TURMERICSWITCH_ROUTING_FLOW_FLOW_TYPES_HPP

#include "core/messages/commands.hpp"
#include "core/messages/request_path.hpp"
#include "routing/selection/backend_selector.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace turmericswitch::routing
{

/// A caller's request.
struct caller_request
{
    core::request_id id;
    core::request_content content;
    /// Value of the `Idempotency-Key` field, if there is one.
    std::optional<std::string> key;
    /// Timeout asked for by the caller; zero if none. The service's request
    /// timeout applies if it is shorter.
    core::duration timeout{};
};

/// What a gateway does about a slow idempotent attempt.
enum class slow_attempt_policy : std::uint8_t
{
    /// Waits until the transport fails or the deadline passes.
    wait,
    /// Abandons it after `flow_options::attempt_timeout`.
    fixed_timeout,
    /// Abandons it after `flow_options::smoothed_latency_factor` times the
    /// smoothed latency of its backend server.
    smoothed_timeout,
    /// Sends a second attempt to another backend server after the service's
    /// `latency_quantile` and delivers the first complete answer.
    hedge,
};

/// Settings of a gateway that the rules file doesn't cover.
struct flow_options
{
    /// Upper bound of the random delay before the first retry. It doubles
    /// with each attempt up to `backoff_cap`.
    core::duration backoff_base = std::chrono::milliseconds(10);
    core::duration backoff_cap = std::chrono::milliseconds(200);
    /// Time after the deadline in which a cancel may still prove that a
    /// non-idempotent attempt did not run.
    core::duration cancel_grace = std::chrono::milliseconds(100);
    /// Cancels sent for one non-idempotent attempt.
    std::uint32_t max_cancels = 3;
    /// Time without attempts to a sidecar that refused one because it drains
    /// or its availability zone is out of service.
    core::duration stale_route_pause = std::chrono::milliseconds(500);
    /// Bytes; an answer with a larger body is not delivered.
    std::uint64_t max_answer_bytes = 16ULL << 20U;
    /// Values other than `hedge` are for measurements.
    slow_attempt_policy slow_attempts = slow_attempt_policy::hedge;
    /// No attempt counts as slow before this time: below it, a second attempt
    /// costs more than waiting.
    core::duration min_hedge_delay = std::chrono::milliseconds(5);
    core::duration attempt_timeout = std::chrono::milliseconds(500);
    std::int64_t smoothed_latency_factor = 8;
    /// False lets retries ignore the retry budget; only for measurements.
    bool use_retry_budget = true;
    /// False ignores the sidecar's revision in refusals; only for
    /// measurements.
    bool use_revision_hints = true;
};

/// Counters of one gateway for metrics. Shared by all threads.
struct flow_counters
{
    std::atomic<std::uint64_t> attempts{0};
    std::atomic<std::uint64_t> retries{0};
    /// Answers to attempts that their request no longer waited for.
    std::atomic<std::uint64_t> late_answers{0};
    /// Answers with a truncated or too large body.
    std::atomic<std::uint64_t> broken_answers{0};
    std::atomic<std::uint64_t> cancels{0};
    /// Requests that ended without an answer after an attempt may have run.
    std::atomic<std::uint64_t> outcome_unknown{0};
    /// Requests that ended without an answer and did not run.
    std::atomic<std::uint64_t> refused{0};
    /// Attempts that the sidecar answered as not run.
    std::atomic<std::uint64_t> attempts_refused{0};
    /// Second attempts sent while the first was open.
    std::atomic<std::uint64_t> hedges{0};
    /// Hedges whose answer was delivered.
    std::atomic<std::uint64_t> hedge_wins{0};
    /// Attempts dropped because the request ended with the other one.
    std::atomic<std::uint64_t> hedge_losers{0};
};

/// Shared by the request flows of one thread. Must outlive them.
struct flow_context
{
    core::location gateway;
    /// Returns the current route table. Called at each selection, so that a
    /// retry sees changed routes. Null means that there is no table yet.
    std::function<std::shared_ptr<route_table const>()> table;
    backend_selector selector;
    core::random_source random;
    flow_options options;
    flow_counters* counters = nullptr;
};

/// Send an attempt to the sidecar's `/attempt`.
struct send_attempt
{
    core::backend_id backend;
    core::endpoint sidecar;
    core::attempt_request request;
    core::decision_record record;
};

/// Send a cancel to the sidecar's `/cancel`.
struct send_cancel
{
    core::endpoint sidecar;
    core::cancel_request request;
};

/// Ask control to claim the idempotency key for this request, and report the
/// reply to `claim_answered`.
struct send_claim
{
    core::claim_key command;
};

/// Tell control that the request with the claim has ended. The reply is not
/// needed.
struct end_claim
{
    core::finish_claim command;
};

/// Call `timer` at this time. Replaces the time of an earlier `set_timer`.
struct set_timer
{
    core::time_point until;
};

/// Answer the caller. Afterwards only an `end_claim` may follow, if the claim
/// is granted late.
struct finish_request
{
    core::attempt_outcome outcome = core::attempt_outcome::not_run;
    core::result_code code = core::result_code::ok;
    /// Complete when `outcome` is `ran`, else empty.
    core::answer_content answer;
    core::decision_record record;
};

using flow_action = std::variant<send_attempt,
                                 send_cancel,
                                 send_claim,
                                 end_claim,
                                 set_timer,
                                 finish_request>;
using flow_actions = std::vector<flow_action>;

} // namespace turmericswitch::routing

#endif
