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
/// `outcome_unknown`.
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

    /// The time of the last `wait` has come.
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

    bool is_current(core::attempt_id const& id) const;
    void try_next(core::time_point now, flow_actions& out);
    selection select(core::time_point now, route_table const& table);
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
    void finish_without_answer(core::result_code code, flow_actions& out);
    void release_claim(flow_actions& out);
    void end(finish result, flow_actions& out);

    flow_context const* m_context;
    caller_request m_request;
    phase m_phase = phase::created;
    resolved_route m_route;
    core::time_point m_deadline;
    core::time_point m_resume_at;
    core::time_point m_cancel_end;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_cancels = 0;
    bool m_claimed = false;
    bool m_has_crossed = false;
    /// True once an attempt ended without proof that it did not run.
    bool m_maybe_ran = false;
    core::result_code m_last_code = core::result_code::ok;
    open_attempt m_current;
    /// Never used again by this request.
    std::set<core::backend_id> m_excluded;
    /// Refused for lack of capacity; used again when no other is left.
    std::set<core::backend_id> m_avoided;
};

} // namespace turmericswitch::routing

#endif
