#ifndef TURMERICSWITCH_ROUTING_FLOW_REQUEST_FLOW_HPP
#define TURMERICSWITCH_ROUTING_FLOW_REQUEST_FLOW_HPP

#include "routing/flow/flow_types.hpp"
#include "routing/flow/open_attempt.hpp"
#include "routing/flow/resolved_route.hpp"

namespace turmericswitch::routing
{

/// State machine of one caller's request, from its arrival to its single
/// answer. Each member function reports an event and returns the actions to
/// perform. Use one object per request, from one thread at a time.
///
/// A non-idempotent request is retried only after proof that the earlier
/// attempt did not run and never will. Without proof it ends as
/// `outcome_unknown`. An idempotent request may be hedged: when the first
/// attempt is slow, a second goes to another backend server of the region, and
/// the first complete answer is delivered.
class request_flow
{
public:
    /// @param context Must outlive the flow.
    request_flow(flow_context const& context, caller_request request);

    /// The request arrived. Must be the first event.
    flow_actions begin(core::time_point now);

    /// A sidecar answered an attempt of this request.
    flow_actions attempt_answered(core::time_point now,
                                  core::attempt_answer answer);

    /// The stream of an attempt ended without an answer; the attempt may have
    /// run.
    flow_actions attempt_lost(core::time_point now, core::attempt_id const& id);

    /// No byte of the attempt was sent or will be, so it did not run.
    flow_actions attempt_not_sent(core::time_point now,
                                  core::attempt_id const& id);

    /// A cancel was answered or failed.
    ///
    /// @param outcome Empty when the cancel got no answer.
    flow_actions cancel_answered(core::time_point now,
                                 core::attempt_id const& id,
                                 std::optional<core::cancel_outcome> outcome);

    /// Control replied to the claim of the idempotency key, or the call failed.
    ///
    /// @param code `ok`, `duplicate_request`, `outcome_unknown`, or the reason
    /// why control gave no decision.
    flow_actions claim_answered(core::time_point now, core::result_code code);

    /// The timer set by the last `set_timer` has expired.
    flow_actions timer(core::time_point now);

    /// @return True once `finish_request` was returned.
    bool done() const noexcept;

private:
    enum class phase : std::uint8_t
    {
        created,
        claiming,
        attempting,
        cancelling,
        backing_off,
        done,
    };

    /// Makes the open attempt with this id the current one.
    ///
    /// @return False when there is none.
    bool make_current(core::attempt_id const& id);
    void start_attempt(core::time_point now, flow_actions& out);
    selection select(core::time_point now, route_table const& table);
    selection_query make_query(core::time_point now,
                               route_table const& table) const;
    void open_current(service_routes const& service, selection const& chosen);
    core::time_point next_timer_time() const;
    std::optional<core::time_point> slow_attempt_time() const;
    void record_service_latency(core::time_point now);
    void handle_slow_attempt(core::time_point now, flow_actions& out);
    bool may_retry() const;
    void start_hedge(core::time_point now, flow_actions& out);
    selection select_hedge_target(core::time_point now);
    void drop_other_attempt(core::time_point now, flow_actions& out);
    void send(core::time_point now, selection chosen, flow_actions& out);
    void handle_answer(core::time_point now,
                       core::attempt_answer answer,
                       flow_actions& out);
    void handle_ran(core::time_point now,
                    core::attempt_answer answer,
                    flow_actions& out);
    void handle_refusal(core::time_point now,
                        core::attempt_answer const& answer,
                        flow_actions& out);
    void handle_unknown_outcome(core::time_point now,
                                core::result_code code,
                                flow_actions& out);
    void start_cancel(core::time_point now, flow_actions& out);
    void send_one_cancel(flow_actions& out);
    void set_cancel_timer(core::time_point now, flow_actions& out);
    void retry(core::time_point now,
               core::result_code code,
               bool stale_route,
               flow_actions& out);
    void handle_missing_answer(core::time_point now, flow_actions& out);
    void handle_deadline(core::time_point now, flow_actions& out);
    void finish_without_answer(core::time_point now,
                               core::result_code code,
                               flow_actions& out);
    void release_claim(flow_actions& out);
    void
    complete(core::time_point now, finish_request result, flow_actions& out);

    flow_context const* m_context;
    caller_request m_request;
    phase m_phase = phase::created;
    resolved_route m_route;
    core::time_point m_deadline;
    core::time_point m_resume_at;
    core::time_point m_cancel_deadline;
    /// Time from which the current attempt counts as slow. Empty when slow
    /// attempts are left alone or this one has been handled.
    std::optional<core::time_point> m_slow_at;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_cancels = 0;
    bool m_claimed = false;
    bool m_latency_recorded = false;
    bool m_has_crossed_region = false;
    /// True once an attempt ended without proof that it did not run.
    bool m_may_have_run = false;
    core::result_code m_last_code = core::result_code::ok;
    std::unique_ptr<open_attempt> m_current = std::make_unique<open_attempt>();
    /// The other open attempt. Null unless the request is hedged.
    std::unique_ptr<open_attempt> m_other;
    /// Backend servers that this request doesn't use again.
    std::set<core::backend_id> m_excluded;
    /// Backend servers that refused for lack of capacity. Used again when no
    /// other is left.
    std::set<core::backend_id> m_overloaded;
};

} // namespace turmericswitch::routing

#endif
