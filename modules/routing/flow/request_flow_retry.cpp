#include "routing/flow/request_flow.hpp"

#include "routing/flow/flow_results.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::routing
{

namespace
{

// Between cancels of one attempt, so that a short loss of the connection
// doesn't use up all of them.
constexpr core::duration cancel_interval = std::chrono::milliseconds(25);

} // namespace

void request_flow::start_cancel(core::time_point now, flow_actions& out)
{
    m_phase = phase::cancelling;
    m_cancels = 0;
    m_cancel_deadline =
        std::max(now, m_deadline) + m_context->options.cancel_grace;
    send_one_cancel(out);
    set_cancel_timer(now, out);
}

void request_flow::send_one_cancel(flow_actions& out)
{
    ++m_cancels;
    ++m_context->counters->cancels;
    out.emplace_back(send_cancel{m_current->sidecar, {m_current->id}});
}

void request_flow::set_cancel_timer(core::time_point now, flow_actions& out)
{
    bool const again = m_cancels < m_context->options.max_cancels;
    m_resume_at = again ? std::min(now + cancel_interval, m_cancel_deadline)
                        : m_cancel_deadline;
    out.emplace_back(set_timer{m_resume_at});
}

flow_actions
request_flow::cancel_answered(core::time_point now,
                              core::attempt_id const& id,
                              std::optional<core::cancel_outcome> outcome)
{
    flow_actions out;
    // Without an answer, the timer sends the next cancel or ends the attempt.
    if (m_phase != phase::cancelling || !make_current(id) || !outcome)
    {
        return out;
    }
    if (*outcome != core::cancel_outcome::cancelled)
    {
        handle_unknown_outcome(now, core::result_code::outcome_unknown, out);
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
                         bool stale_route,
                         flow_actions& out)
{
    m_last_code = code;
    if (now < m_deadline && m_other != nullptr)
    {
        // The other open attempt takes the place of a retry.
        m_current = std::move(m_other);
        return;
    }
    bool const budgeted = !stale_route && m_context->options.use_retry_budget;
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
    if (stale_route)
    {
        start_attempt(now, out);
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
            handle_deadline(now, out);
        }
        else if (m_slow_at && now >= *m_slow_at)
        {
            handle_slow_attempt(now, out);
        }
        break;
    case phase::cancelling:
        if (now >= m_cancel_deadline)
        {
            handle_unknown_outcome(
                now, core::result_code::outcome_unknown, out);
        }
        else if (now >= m_resume_at)
        {
            send_one_cancel(out);
            set_cancel_timer(now, out);
        }
        break;
    case phase::backing_off:
        if (now >= m_resume_at)
        {
            start_attempt(now, out);
        }
        break;
    case phase::created:
    case phase::done:
        break;
    }
    return out;
}

void request_flow::handle_deadline(core::time_point now, flow_actions& out)
{
    if (m_phase == phase::claiming)
    {
        finish_without_answer(now, core::result_code::deadline_exceeded, out);
        return;
    }
    handle_missing_answer(now, out);
}

core::time_point request_flow::next_timer_time() const
{
    return m_slow_at ? std::min(*m_slow_at, m_deadline) : m_deadline;
}

std::optional<core::time_point> request_flow::slow_attempt_time() const
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

void request_flow::handle_slow_attempt(core::time_point now, flow_actions& out)
{
    m_slow_at.reset();
    if (m_context->options.slow_attempts == slow_attempt_policy::hedge)
    {
        start_hedge(now, out);
        return;
    }
    if (!may_retry())
    {
        out.emplace_back(set_timer{m_deadline});
        return;
    }
    m_current->outlier->failed(now);
    handle_missing_answer(now, out);
}

bool request_flow::may_retry() const
{
    return m_attempts < m_route.rule.max_attempts &&
           m_route.retries->tokens() > 0;
}

void request_flow::start_hedge(core::time_point now, flow_actions& out)
{
    m_route.latency->record_above();
    m_latency_recorded = true;
    m_other = std::exchange(m_current, std::make_unique<open_attempt>());
    auto chosen = may_retry() ? select_hedge_target(now) : selection();
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

selection request_flow::select_hedge_target(core::time_point now)
{
    auto const table = m_context->table();
    auto const* const service = table->find_service(m_route.service);
    if (service == nullptr)
    {
        return {};
    }
    auto query = make_query(now, *table);
    query.excluded.insert(m_other->backend);
    // The region link is slow and billed, and a hedge in a queue would add
    // load where no capacity is free.
    query.may_cross_region = false;
    query.needs_free_slot = true;
    auto chosen =
        m_context->selector.choose(*service, query, m_context->random);
    if (chosen.target != nullptr)
    {
        open_current(*service, chosen);
        chosen.record.reasons.emplace_back("hedge");
    }
    return chosen;
}

void request_flow::drop_other_attempt(core::time_point now, flow_actions& out)
{
    ++m_context->counters->hedge_losers;
    if (!m_other->is_hedge || now >= m_deadline)
    {
        m_other->record_overtaken(now);
    }
    m_other->close();
    m_current = std::move(m_other);
    // The answer to this cancel isn't awaited; it only frees a queue place.
    send_one_cancel(out);
}

void request_flow::record_service_latency(core::time_point now)
{
    // Takes one sample per request, from its first attempt.
    if (m_attempts == 1 && !m_latency_recorded)
    {
        m_route.latency->record(now - m_current->sent_at);
    }
}

void request_flow::release_claim(flow_actions& out)
{
    // The claim of a request that may have run is kept, so that a resend of
    // it isn't run.
    if (m_claimed && !m_may_have_run)
    {
        out.emplace_back(
            end_claim{{m_route.service, *m_request.key, m_request.id, false}});
    }
}

void request_flow::finish_without_answer(core::time_point now,
                                         core::result_code code,
                                         flow_actions& out)
{
    // The other open attempt may run until its cancel arrives.
    m_may_have_run = m_may_have_run || m_other != nullptr;
    release_claim(out);
    auto& count = m_may_have_run ? m_context->counters->outcome_unknown
                                 : m_context->counters->refused;
    ++count;
    complete(now,
             result_without_answer(m_may_have_run, m_route.idempotent, code),
             out);
}

void request_flow::complete(core::time_point now,
                            finish_request result,
                            flow_actions& out)
{
    if (m_other != nullptr)
    {
        drop_other_attempt(now, out);
    }
    m_current->close();
    m_phase = phase::done;
    fill_result_record(m_request.id, result);
    out.emplace_back(std::move(result));
}

} // namespace turmericswitch::routing
