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

/// One request of a caller.
struct caller_request
{
    core::request_id id;
    core::request_content content;
    /// Value of the `Idempotency-Key` field, if there is one.
    std::optional<std::string> key;
    /// Asked for by the caller; zero means that of the service. The shorter
    /// one counts.
    core::duration timeout{};
};

/// What a request does about an idempotent attempt that takes long.
enum class slow_attempt_policy : std::uint8_t
{
    /// Waits for the transport or the deadline.
    wait,
    /// Gives it up after `flow_options::attempt_timeout`.
    fixed_timeout,
    /// Gives it up after `flow_options::smoothed_latency_factor` times the
    /// smoothed latency of its backend server.
    smoothed_timeout,
    /// Opens a second attempt after the high quantile of the service's
    /// latency and takes the first whole answer.
    hedge,
};

/// Settings of a gateway that no rule sets.
struct flow_options
{
    core::duration backoff_base = std::chrono::milliseconds(10);
    core::duration backoff_cap = std::chrono::milliseconds(200);
    /// Time after the deadline in which a cancel may still prove that a
    /// non-idempotent attempt did not run.
    core::duration cancel_grace = std::chrono::milliseconds(100);
    std::uint32_t max_cancels = 3;
    /// Time without attempts to a sidecar that refused because it leaves.
    core::duration stale_route_pause = std::chrono::milliseconds(500);
    /// An answer with a larger body is not delivered.
    std::uint64_t max_answer_bytes = 16ULL << 20U;
    /// All but `hedge` are for measurements.
    slow_attempt_policy slow_attempts = slow_attempt_policy::hedge;
    /// A hedge is sent no sooner; below it, a second attempt costs more than
    /// the wait.
    core::duration min_hedge_delay = std::chrono::milliseconds(5);
    core::duration attempt_timeout = std::chrono::milliseconds(500);
    std::int64_t smoothed_latency_factor = 8;
    /// False spends no budget on retries; only for measurements.
    bool use_retry_budget = true;
    /// False ignores the revision in refusals; only for measurements.
    bool use_revision_hints = true;
};

/// Counts of one gateway for metrics. Shared by all threads.
struct flow_counters
{
    std::atomic<std::uint64_t> attempts{0};
    std::atomic<std::uint64_t> retries{0};
    std::atomic<std::uint64_t> late_answers{0};
    std::atomic<std::uint64_t> broken_answers{0};
    std::atomic<std::uint64_t> cancels{0};
    std::atomic<std::uint64_t> outcome_unknown{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> attempts_refused{0};
    /// Second attempts beside an open one.
    std::atomic<std::uint64_t> hedges{0};
    /// Hedges whose answer was delivered.
    std::atomic<std::uint64_t> hedge_wins{0};
    /// Attempts dropped because the request ended on the other one.
    std::atomic<std::uint64_t> hedge_losers{0};
};

/// What the flows of one gateway share. Must outlive them.
struct flow_context
{
    core::location gateway;
    /// Gives the table in force; read at every choice, so that a retry sees
    /// routes that changed meanwhile. Null means not ready.
    std::function<std::shared_ptr<route_table const>()> table;
    backend_selector selector;
    core::random_source random;
    flow_options options;
    flow_counters* counters = nullptr;
};

/// Send `/attempt` to the sidecar.
struct send_attempt
{
    core::backend_id backend;
    core::endpoint sidecar;
    core::attempt_request request;
    core::decision_record record;
};

/// Send `/cancel` to the sidecar.
struct send_cancel
{
    core::endpoint sidecar;
    core::cancel_request request;
};

/// Propose the claim to control; report its reply to `claim_answered`.
struct send_claim
{
    core::claim_key command;
};

/// Propose the end of the claim to control; nothing waits for the reply.
struct end_claim
{
    core::finish_claim command;
};

/// Call `timer` at this time. Replaces an earlier `set_timer`.
struct set_timer
{
    core::time_point until;
};

/// Answer the caller. The flow is over.
struct finish_request
{
    core::attempt_outcome outcome = core::attempt_outcome::not_run;
    core::result_code code = core::result_code::ok;
    /// Whole, when `outcome` is `ran`.
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
