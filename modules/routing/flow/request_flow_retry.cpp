#include "routing/flow/request_flow.hpp"

#include "routing/flow/flow_results.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::routing
{

namespace
{

// Between cancels of one attempt, so that a short break of the connection
// doesn't use up all of them.
constexpr core::duration cancel_interval = std::chrono::milliseconds(25);

} // namespace

void request_flow::start_cancel(core::time_point now, flow_actions& out)
{
    m_phase = phase::cancelling;
    m_cancels = 0;
    m_cancel_end = std::max(now, m_deadline) + m_context->options.cancel_grace;
    send_one_cancel(out);
    wait_for_cancel(now, out);
}

void request_flow::send_one_cancel(flow_actions& out)
{
    ++m_cancels;
    ++m_context->counters->cancels;
    out.emplace_back(send_cancel{m_current->sidecar, {m_current->id}});
}

void request_flow::wait_for_cancel(core::time_point now, flow_actions& out)
{
    bool const again = m_cancels < m_context->options.max_cancels;
    m_resume_at =
        again ? std::min(now + cancel_interval, m_cancel_end) : m_cancel_end;
    out.emplace_back(set_timer{m_resume_at});
}

flow_actions
request_flow::cancel_answered(core::time_point now,
                              core::attempt_id const& id,
                              std::optional<core::cancel_outcome> outcome)
{
    flow_actions out;
    // Without an answer, the timer sends the next cancel or gives up.
    if (m_phase != phase::cancelling || !focus(id) || !outcome)
    {
        return out;
    }
    if (*outcome != core::cancel_outcome::cancelled)
    {
        handle_unknown(now, core::result_code::outcome_unknown, out);
        return out;
    }
    m_excluded.insert(m_current->backend);
    m_current->close();
    auto const code = now < m_deadline ? core::result_code::not_run
                                       : core::result_code::deadline_exceeded;
    retry(now, code, false, out);
    return out;
}

void request_flow::retry(core::time_point now,
                         core::result_code code,
                         bool route_change,
                         flow_actions& out)
{
    m_last_code = code;
    if (now < m_deadline && m_other != nullptr)
    {
        // The other attempt is the retry.
        m_current = std::move(m_other);
        return;
    }
    bool const budgeted = !route_change && m_context->options.use_retry_budget;
    if (now >= m_deadline || m_attempts >= m_route.rule.max_attempts)
    {
        finish_without_answer(now, code, out);
        return;
    }
    if (budgeted && !m_route.retries->try_spend())
    {
        finish_without_answer(now, core::result_code::retry_budget_empty, out);
        return;
    }
    ++m_context->counters->retries;
    if (route_change)
    {
        try_next(now, out);
        return;
    }
    m_phase = phase::backing_off;
    m_resume_at = now + core::full_jitter(m_context->random,
                                          m_context->options.backoff_base,
                                          m_context->options.backoff_cap,
                                          m_attempts - 1);
    m_resume_at = std::min(m_resume_at, m_deadline);
    out.emplace_back(set_timer{m_resume_at});
}

flow_actions request_flow::timer(core::time_point now)
{
    flow_actions out;
    switch (m_phase)
    {
    case phase::claiming:
    case phase::attempting:
        if (now >= m_deadline)
        {
            deadline_passed(now, out);
        }
        else if (m_slow_at && now >= *m_slow_at)
        {
            attempt_is_slow(now, out);
        }
        break;
    case phase::cancelling:
        if (now >= m_cancel_end)
        {
            handle_unknown(now, core::result_code::outcome_unknown, out);
        }
        else if (now >= m_resume_at)
        {
            send_one_cancel(out);
            wait_for_cancel(now, out);
        }
        break;
    case phase::backing_off:
        if (now >= m_resume_at)
        {
            try_next(now, out);
        }
        break;
    case phase::created:
    case phase::done:
        break;
    }
    return out;
}

void request_flow::deadline_passed(core::time_point now, flow_actions& out)
{
    if (m_phase == phase::claiming)
    {
        finish_without_answer(now, core::result_code::deadline_exceeded, out);
        return;
    }
    answer_is_missing(now, out);
}

core::time_point request_flow::wake_time() const
{
    return m_slow_at ? std::min(*m_slow_at, m_deadline) : m_deadline;
}

std::optional<core::time_point> request_flow::slow_time() const
{
    if (!m_route.idempotent || m_other != nullptr)
    {
        return std::nullopt;
    }
    auto const& options = m_context->options;
    core::duration after{};
    switch (options.slow_attempts)
    {
    case slow_attempt_policy::wait:
        break;
    case slow_attempt_policy::fixed_timeout:
        after = options.attempt_timeout;
        break;
    case slow_attempt_policy::smoothed_timeout:
        after = m_current->load->latency() * options.smoothed_latency_factor;
        break;
    case slow_attempt_policy::hedge:
        after = m_route.latency->value();
        break;
    }
    if (after == core::duration::zero())
    {
        return std::nullopt;
    }
    return m_current->sent_at + std::max(after, options.min_hedge_delay);
}

void request_flow::attempt_is_slow(core::time_point now, flow_actions& out)
{
    m_slow_at.reset();
    if (m_context->options.slow_attempts == slow_attempt_policy::hedge)
    {
        hedge(now, out);
        return;
    }
    if (!may_try_again())
    {
        out.emplace_back(set_timer{m_deadline});
        return;
    }
    m_current->outlier->failed(now);
    answer_is_missing(now, out);
}

bool request_flow::may_try_again() const
{
    return m_attempts < m_route.rule.max_attempts &&
           m_route.retries->tokens() > 0;
}

void request_flow::hedge(core::time_point now, flow_actions& out)
{
    m_route.latency->record_above();
    m_latency_recorded = true;
    m_other = std::exchange(m_current, std::make_unique<open_attempt>());
    auto chosen = may_try_again() ? select_hedge(now) : selection();
    if (chosen.target == nullptr || !m_route.retries->try_spend_for_hedge())
    {
        m_current = std::move(m_other);
        out.emplace_back(set_timer{m_deadline});
        return;
    }
    ++m_context->counters->hedges;
    m_current->is_hedge = true;
    send(now, std::move(chosen), out);
}

selection request_flow::select_hedge(core::time_point now)
{
    auto const table = m_context->table();
    auto const* const service = table->find_service(m_route.service);
    if (service == nullptr)
    {
        return {};
    }
    auto query = make_query(now, *table);
    query.excluded.insert(m_other->backend);
    // The region link is slow and billed, and a queue place would only add
    // load where there is none to spare.
    query.may_cross = false;
    query.needs_free_slot = true;
    auto chosen =
        m_context->selector.choose(*service, query, m_context->random);
    if (chosen.target != nullptr)
    {
        open(*service, chosen);
        chosen.record.reasons.emplace_back("hedge");
    }
    return chosen;
}

void request_flow::drop_other(core::time_point now, flow_actions& out)
{
    ++m_context->counters->hedge_losers;
    if (!m_other->is_hedge || now >= m_deadline)
    {
        m_other->record_overtaken(now);
    }
    m_other->close();
    m_current = std::move(m_other);
    // Nothing waits for this cancel; it only frees a queue place.
    send_one_cancel(out);
}

void request_flow::record_service_latency(core::time_point now)
{
    // One sample for each request, of its first attempt.
    if (m_attempts == 1 && !m_latency_recorded)
    {
        m_route.latency->record(now - m_current->sent_at);
    }
}

void request_flow::release_claim(flow_actions& out)
{
    // A claim whose request may have run stays, so that a resend is not run.
    if (m_claimed && !m_maybe_ran)
    {
        out.emplace_back(
            end_claim{{m_route.service, *m_request.key, m_request.id, false}});
    }
}

void request_flow::finish_without_answer(core::time_point now,
                                         core::result_code code,
                                         flow_actions& out)
{
    // The other attempt may run until its cancel arrives.
    m_maybe_ran = m_maybe_ran || m_other != nullptr;
    release_claim(out);
    auto& count = m_maybe_ran ? m_context->counters->outcome_unknown
                              : m_context->counters->refused;
    ++count;
    end(now, result_without_answer(m_maybe_ran, m_route.idempotent, code), out);
}

void request_flow::end(core::time_point now,
                       finish_request result,
                       flow_actions& out)
{
    if (m_other != nullptr)
    {
        drop_other(now, out);
    }
    m_current->close();
    m_phase = phase::done;
    describe_result(m_request.id, result);
    out.emplace_back(std::move(result));
}

} // namespace turmericswitch::routing
