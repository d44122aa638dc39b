#include "routing/flow/request_flow.hpp"

#include "routing/flow/flow_results.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmericswitch::routing
{

request_flow::request_flow(flow_context const& context, caller_request request)
    : m_context(&context), m_request(std::move(request))
{
}

bool request_flow::done() const noexcept
{
    return m_phase == phase::done;
}

flow_actions request_flow::begin(core::time_point now)
{
    assert(m_phase == phase::created);
    flow_actions out;
    auto const table = m_context->table();
    if (table == nullptr)
    {
        finish_without_answer(now, core::result_code::not_ready, out);
        return out;
    }
    auto route = resolve_route(*table, m_request.content);
    if (!route)
    {
        finish_without_answer(now, core::result_code::no_route, out);
        return out;
    }
    m_route = std::move(*route);
    bool const shorter = m_request.timeout > core::duration::zero() &&
                         m_request.timeout < m_route.rule.request_timeout;
    m_deadline =
        now + (shorter ? m_request.timeout : m_route.rule.request_timeout);
    if (!m_request.key)
    {
        start_attempt(now, out);
        return out;
    }
    m_phase = phase::claiming;
    m_claimed = true;
    out.emplace_back(
        send_claim{{m_route.service, *m_request.key, m_request.id}});
    out.emplace_back(set_timer{m_deadline});
    return out;
}

flow_actions request_flow::claim_answered(core::time_point now,
                                          core::result_code code)
{
    flow_actions out;
    if (m_phase == phase::done && m_attempts == 0 &&
        code == core::result_code::ok)
    {
        // The request passed its deadline before control granted the claim.
        release_claim(out);
    }
    if (m_phase != phase::claiming)
    {
        return out;
    }
    if (code == core::result_code::ok)
    {
        start_attempt(now, out);
        return out;
    }
    bool const other_request = code == core::result_code::duplicate_request ||
                               code == core::result_code::outcome_unknown;
    if (!other_request)
    {
        // Control may still apply the claim; the release follows it.
        finish_without_answer(now, code, out);
        return out;
    }
    finish_request result;
    result.outcome = core::attempt_outcome::unknown;
    result.code = code;
    complete(now, std::move(result), out);
    return out;
}

void request_flow::start_attempt(core::time_point now, flow_actions& out)
{
    if (now >= m_deadline)
    {
        finish_without_answer(now, core::result_code::deadline_exceeded, out);
        return;
    }
    auto const table = m_context->table();
    auto chosen = select(now, *table);
    if (chosen.target == nullptr && !m_overloaded.empty())
    {
        m_overloaded.clear();
        chosen = select(now, *table);
    }
    if (chosen.target == nullptr)
    {
        bool const keep = m_last_code != core::result_code::ok &&
                          chosen.code == core::result_code::not_run;
        finish_without_answer(now, keep ? m_last_code : chosen.code, out);
        return;
    }
    send(now, std::move(chosen), out);
}

selection request_flow::select(core::time_point now, route_table const& table)
{
    auto const* const service = table.find_service(m_route.service);
    if (service == nullptr)
    {
        selection none;
        none.code = core::result_code::no_route;
        return none;
    }
    auto chosen = m_context->selector.choose(
        *service, make_query(now, table), m_context->random);
    if (chosen.target != nullptr)
    {
        open_current(*service, chosen);
    }
    return chosen;
}

selection_query request_flow::make_query(core::time_point now,
                                         route_table const& table) const
{
    selection_query query;
    query.now = now;
    query.remaining = m_deadline - now;
    query.gateway = m_context->gateway;
    query.table_revision = table.revision;
    query.body = request_size(m_request.content);
    query.may_cross_region = !m_has_crossed_region;
    query.excluded = m_excluded;
    query.excluded.insert(m_overloaded.begin(), m_overloaded.end());
    return query;
}

void request_flow::open_current(service_routes const& service,
                                selection const& chosen)
{
    m_current->open(*chosen.target, chosen.crosses_region);
    m_current->service_revision = service.last_changed;
}

void request_flow::send(core::time_point now,
                        selection chosen,
                        flow_actions& out)
{
    ++m_attempts;
    ++m_context->counters->attempts;
    m_phase = phase::attempting;
    m_has_crossed_region = m_has_crossed_region || m_current->is_cross_region;
    m_current->id.request = m_request.id;
    m_current->id.number = core::attempt_number(m_attempts);
    m_current->sent_at = now;
    send_attempt action;
    action.backend = m_current->backend;
    action.sidecar = m_current->sidecar;
    action.request = {m_current->id,
                      m_route.service,
                      m_request.content,
                      m_deadline - now,
                      m_route.idempotent,
                      m_current->service_revision};
    action.record = std::move(chosen.record);
    fill_send_record(m_request.id, m_current->backend, action.record);
    out.emplace_back(std::move(action));
    m_slow_at = slow_attempt_time();
    out.emplace_back(set_timer{next_timer_time()});
}

bool request_flow::make_current(core::attempt_id const& id)
{
    if (m_phase != phase::attempting && m_phase != phase::cancelling)
    {
        return false;
    }
    if (m_other != nullptr && m_other->id == id)
    {
        std::swap(m_current, m_other);
    }
    return m_current->id == id;
}

flow_actions request_flow::attempt_answered(core::time_point now,
                                            core::attempt_answer answer)
{
    flow_actions out;
    if (!make_current(answer.id))
    {
        m_context->counters->late_answers.fetch_add(1,
                                                    std::memory_order_relaxed);
        return out;
    }
    m_current->load->record_in_use(now, answer.in_use);
    handle_answer(now, std::move(answer), out);
    return out;
}

void request_flow::handle_answer(core::time_point now,
                                 core::attempt_answer answer,
                                 flow_actions& out)
{
    switch (answer.outcome)
    {
    case core::attempt_outcome::ran:
        handle_ran(now, std::move(answer), out);
        return;
    case core::attempt_outcome::not_run:
        handle_refusal(now, answer, out);
        return;
    case core::attempt_outcome::unknown:
        break;
    }
    if (answer.code == core::result_code::wrong_incarnation)
    {
        m_current->load->retire();
    }
    else
    {
        m_current->outlier->failed(now);
    }
    handle_unknown_outcome(now, answer.code, out);
}

void request_flow::handle_ran(core::time_point now,
                              core::attempt_answer answer,
                              flow_actions& out)
{
    auto const size = answer.answer.body.size();
    if (m_current->is_cross_region)
    {
        m_route.region_bytes->charge(
            now,
            core::byte_count(static_cast<std::int64_t>(size)),
            m_route.rule.region_bytes_per_second);
    }
    if (size != answer.body_size || size > m_context->options.max_answer_bytes)
    {
        ++m_context->counters->broken_answers;
        m_current->outlier->failed(now);
        handle_unknown_outcome(now, core::result_code::backend_failed, out);
        return;
    }
    if (m_current->record_status(now, answer.answer.status))
    {
        m_route.retries->earn(m_route.rule.retry_percent);
        record_service_latency(now);
    }
    finish_request result;
    result.outcome = core::attempt_outcome::ran;
    result.answer = std::move(answer.answer);
    result.record.target = m_current->backend.value();
    m_may_have_run = true;
    m_context->counters->hedge_wins += m_current->is_hedge ? 1 : 0;
    if (m_request.key)
    {
        out.emplace_back(
            end_claim{{m_route.service, *m_request.key, m_request.id, true}});
    }
    complete(now, std::move(result), out);
}

void request_flow::handle_refusal(core::time_point now,
                                  core::attempt_answer const& answer,
                                  flow_actions& out)
{
    m_context->counters->attempts_refused.fetch_add(1,
                                                    std::memory_order_relaxed);
    bool const stale_route = is_stale_route(answer.code);
    if (stale_route)
    {
        m_current->record_stale_route(
            now, answer.sidecar_revision, m_context->options);
    }
    bool const overload = answer.code == core::result_code::no_capacity;
    (overload ? m_overloaded : m_excluded).insert(m_current->backend);
    if (answer.code == core::result_code::backend_failed)
    {
        m_current->outlier->failed(now);
    }
    m_current->close();
    retry(now, answer.code, stale_route, out);
}

void request_flow::handle_unknown_outcome(core::time_point now,
                                          core::result_code code,
                                          flow_actions& out)
{
    m_may_have_run = true;
    m_excluded.insert(m_current->backend);
    m_current->close();
    if (!m_route.idempotent)
    {
        finish_without_answer(now, code, out);
        return;
    }
    retry(now, code, false, out);
}

flow_actions request_flow::attempt_lost(core::time_point now,
                                        core::attempt_id const& id)
{
    flow_actions out;
    if (m_phase != phase::attempting || !make_current(id))
    {
        return out;
    }
    m_current->outlier->failed(now);
    handle_missing_answer(now, out);
    return out;
}

void request_flow::handle_missing_answer(core::time_point now,
                                         flow_actions& out)
{
    if (!m_route.idempotent)
    {
        start_cancel(now, out);
        return;
    }
    // The answer to this cancel isn't awaited; it only frees a queue place.
    send_one_cancel(out);
    handle_unknown_outcome(now, core::result_code::outcome_unknown, out);
}

flow_actions request_flow::attempt_not_sent(core::time_point now,
                                            core::attempt_id const& id)
{
    flow_actions out;
    if (m_phase != phase::attempting || !make_current(id))
    {
        return out;
    }
    if (m_current->is_cross_region)
    {
        m_has_crossed_region = false;
        m_route.region_bytes->refund(request_size(m_request.content),
                                     m_route.rule.region_bytes_per_second);
    }
    m_current->outlier->failed(now);
    m_excluded.insert(m_current->backend);
    m_current->close();
    retry(now, core::result_code::peer_unreachable, false, out);
    return out;
}

} // namespace turmericswitch::routing
