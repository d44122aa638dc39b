#ifndef TURMERICSWITCH_ROUTING_FLOW_REQUEST_FLOW_HPP
#define TURMERICSWITCH_ROUTING_FLOW_REQUEST_FLOW_HPP

#include "routing/flow/flow_types.hpp"
#include "routing/flow/open_attempt.hpp"
#include "routing/flow/resolved_route.hpp"

namespace turmericswitch::routing
{

/// Carries one caller request from its arrival to its one answer. Use one
/// per request, from one thread at a time; the calls are its events.
///
/// A non-idempotent request is sent again only after proof that the earlier
/// attempt did not run and never will. Without proof it ends as
/// `outcome_unknown`. An idempotent request may have two attempts open: when
/// the first takes longer than most, a second goes to another backend server
/// of the region, and the first whole answer of either is delivered.
class request_flow
{
public:
    /// @param context Must outlive the flow.
    request_flow(flow_context const& context, caller_request request);

    /// The first event.
    flow_actions begin(core::time_point now);

    /// A sidecar answered an attempt of this request.
    flow_actions attempt_answered(core::time_point now,
                                  core::attempt_answer answer);

    /// The stream of an attempt ended without an answer.
    flow_actions attempt_lost(core::time_point now, core::attempt_id const& id);

    /// No byte of the attempt was sent and none will be.
    flow_actions attempt_not_sent(core::time_point now,
                                  core::attempt_id const& id);

    /// @param outcome Empty when the cancel got no answer.
    flow_actions cancel_answered(core::time_point now,
                                 core::attempt_id const& id,
                                 std::optional<core::cancel_outcome> outcome);

    /// Control replied to the claim.
    ///
    /// @param code `ok`, `duplicate_request`, `outcome_unknown`, or why
    /// control could not be asked.
    flow_actions claim_answered(core::time_point now, core::result_code code);

    /// The time of the last `set_timer` has come.
    flow_actions timer(core::time_point now);

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
    bool focus(core::attempt_id const& id);
    void try_next(core::time_point now, flow_actions& out);
    selection select(core::time_point now, route_table const& table);
    selection_query make_query(core::time_point now,
                               route_table const& table) const;
    void open(service_routes const& service, selection const& chosen);
    core::time_point wake_time() const;
    std::optional<core::time_point> slow_time() const;
    void record_service_latency(core::time_point now);
    void attempt_is_slow(core::time_point now, flow_actions& out);
    bool may_try_again() const;
    void hedge(core::time_point now, flow_actions& out);
    selection select_hedge(core::time_point now);
    void drop_other(core::time_point now, flow_actions& out);
    void send(core::time_point now, selection chosen, flow_actions& out);
    void handle_answer(core::time_point now,
                       core::attempt_answer answer,
                       flow_actions& out);
    void handle_whole(core::time_point now,
                      core::attempt_answer answer,
                      flow_actions& out);
    void handle_refusal(core::time_point now,
                        core::attempt_answer const& answer,
                        flow_actions& out);
    void handle_unknown(core::time_point now,
                        core::result_code code,
                        flow_actions& out);
    void start_cancel(core::time_point now, flow_actions& out);
    void send_one_cancel(flow_actions& out);
    void wait_for_cancel(core::time_point now, flow_actions& out);
    void retry(core::time_point now,
               core::result_code code,
               bool route_change,
               flow_actions& out);
    void answer_is_missing(core::time_point now, flow_actions& out);
    void deadline_passed(core::time_point now, flow_actions& out);
    void finish_without_answer(core::time_point now,
                               core::result_code code,
                               flow_actions& out);
    void release_claim(flow_actions& out);
    void end(core::time_point now, finish_request result, flow_actions& out);

    flow_context const* m_context;
    caller_request m_request;
    phase m_phase = phase::created;
    resolved_route m_route;
    core::time_point m_deadline;
    core::time_point m_resume_at;
    core::time_point m_cancel_end;
    /// When the current attempt counts as slow; never when not set.
    std::optional<core::time_point> m_slow_at;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_cancels = 0;
    bool m_claimed = false;
    bool m_latency_recorded = false;
    bool m_has_crossed = false;
    /// True once an attempt ended without proof that it did not run.
    bool m_maybe_ran = false;
    core::result_code m_last_code = core::result_code::ok;
    std::unique_ptr<open_attempt> m_current = std::make_unique<open_attempt>();
    /// Set only while two attempts are open.
    std::unique_ptr<open_attempt> m_other;
    /// Never used again by this request.
    std::set<core::backend_id> m_excluded;
    /// Refused for lack of capacity; used again when no other is left.
    std::set<core::backend_id> m_avoided;
};

} // namespace turmericswitch::routing

#endif
