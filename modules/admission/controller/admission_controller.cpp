#include "admission/controller/admission_controller.hpp"

#include <algorithm>

namespace turmericswitch::admission
{

namespace
{

// A new service time has a weight of 1/8, as in TCP's round-trip estimate.
constexpr int smoothing = 8;

} // namespace

admission_controller::admission_controller(core::incarnation self,
                                           admission_limits const& limits,
                                           history_limits const& history)
    : m_self(self),
      m_limits(limits),
      m_history(history.attempts, history.gateways)
{
}

admission_actions admission_controller::attempt(core::time_point now,
                                                core::attempt_request request)
{
    admission_actions out;
    if (request.id.sidecar != m_self)
    {
        // An earlier incarnation may have run the attempt, so the outcome is
        // unknown.
        ++m_counters.refused;
        out.emplace_back(
            refuse{make_answer(request.id,
                               core::attempt_outcome::unknown,
                               core::result_code::wrong_incarnation)});
        return out;
    }
    if (is_pending(request.id))
    {
        ++m_counters.duplicates;
        return out;
    }
    if (answer_from_history(request.id, out))
    {
        return out;
    }
    shed_expired(now, out);
    admit(now, std::move(request), out);
    return out;
}

bool admission_controller::answer_from_history(core::attempt_id const& id,
                                               admission_actions& out)
{
    auto const status = m_history.find(id);
    if (status == attempt_status::fresh)
    {
        return false;
    }
    if (status == attempt_status::gateway_refused)
    {
        // No attempt of this gateway is ever started in this incarnation.
        ++m_counters.refused;
        out.emplace_back(refuse{make_answer(
            id, core::attempt_outcome::not_run, core::result_code::not_ready)});
        return true;
    }
    ++(status == attempt_status::ended ? m_counters.duplicates
                                       : m_counters.forgotten);
    auto const end = m_history.end_of(id);
    bool const proved = end && !end->ran;
    out.emplace_back(refuse{
        make_answer(id,
                    proved ? core::attempt_outcome::not_run
                           : core::attempt_outcome::unknown,
                    proved ? end->code : core::result_code::outcome_unknown)});
    return true;
}

core::result_code
admission_controller::reason_to_refuse(core::attempt_request const& request)
{
    if (m_draining)
    {
        return core::result_code::draining;
    }
    if (m_zone_out)
    {
        return core::result_code::zone_out;
    }
    if (request.remaining <= core::duration::zero())
    {
        return core::result_code::deadline_exceeded;
    }
    if (has_free_slot())
    {
        return core::result_code::ok;
    }
    bool const full = m_waiting.size() >= m_limits.queue;
    return full || expected_wait() >= request.remaining
               ? core::result_code::no_capacity
               : core::result_code::ok;
}

void admission_controller::admit(core::time_point now,
                                 core::attempt_request request,
                                 admission_actions& out)
{
    auto const code = reason_to_refuse(request);
    if (code != core::result_code::ok)
    {
        refuse_attempt(request.id, code, out);
        return;
    }
    m_history.track_gateway(request.id);
    if (has_free_slot())
    {
        start_now(now, std::move(request), out);
        return;
    }
    out.emplace_back(queue{request.id});
    auto const deadline = now + request.remaining;
    m_waiting.push_back({std::move(request), deadline});
}

admission_actions
admission_controller::cancel(core::time_point now,
                             core::cancel_request const& request)
{
    admission_actions out;
    shed_expired(now, out);
    auto const outcome = cancel_outcome_of(request.id, out);
    out.emplace_back(answer_cancel{{request.id, outcome}});
    return out;
}

core::cancel_outcome
admission_controller::cancel_outcome_of(core::attempt_id const& id,
                                        admission_actions& out)
{
    if (id.sidecar != m_self)
    {
        return core::cancel_outcome::wrong_incarnation;
    }
    if (m_running.contains(id))
    {
        return core::cancel_outcome::running;
    }
    if (cancel_waiting(id, out))
    {
        return core::cancel_outcome::cancelled;
    }
    switch (m_history.find(id))
    {
    case attempt_status::fresh:
        ++m_counters.cancelled;
        m_history.record(id, {false, core::result_code::attempt_cancelled});
        return core::cancel_outcome::cancelled;
    case attempt_status::gateway_refused:
        return core::cancel_outcome::cancelled;
    case attempt_status::ended:
        return m_history.end_of(id)->ran ? core::cancel_outcome::finished
                                         : core::cancel_outcome::cancelled;
    case attempt_status::forgotten:
        break;
    }
    return core::cancel_outcome::finished;
}

bool admission_controller::cancel_waiting(core::attempt_id const& id,
                                          admission_actions& out)
{
    auto const found =
        std::find_if(m_waiting.begin(),
                     m_waiting.end(),
                     [&](auto const& entry) { return entry.request.id == id; });
    if (found == m_waiting.end())
    {
        return false;
    }
    m_waiting.erase(found);
    ++m_counters.cancelled;
    refuse_attempt(id, core::result_code::attempt_cancelled, out);
    return true;
}

admission_actions
admission_controller::backend_answered(core::time_point now,
                                       core::attempt_id const& id,
                                       core::answer_content content)
{
    admission_actions out;
    auto const found = m_running.find(id);
    if (found == m_running.end())
    {
        return out;
    }
    auto const spent = now - found->second;
    m_service_time =
        m_service_time == core::duration::zero()
            ? spent
            : m_service_time + (spent - m_service_time) / smoothing;
    m_running.erase(found);
    m_history.record(id, {true, core::result_code::ok});
    ++m_counters.answered;
    start_waiting(now, out);
    auto whole =
        make_answer(id, core::attempt_outcome::ran, core::result_code::ok);
    whole.body_size = content.body.size();
    whole.answer = std::move(content);
    out.emplace_back(answer{std::move(whole)});
    return out;
}

admission_actions admission_controller::backend_failed(
    core::time_point now, core::attempt_id const& id, bool sent)
{
    admission_actions out;
    if (m_running.erase(id) == 0)
    {
        return out;
    }
    auto const code = core::result_code::backend_failed;
    m_history.record(id, {sent, code});
    ++m_counters.failed;
    start_waiting(now, out);
    out.emplace_back(answer{make_answer(id,
                                        sent ? core::attempt_outcome::unknown
                                             : core::attempt_outcome::not_run,
                                        code)});
    return out;
}

admission_actions admission_controller::drain(core::time_point now,
                                              bool draining)
{
    admission_actions out;
    m_draining = draining;
    shed_expired(now, out);
    if (draining)
    {
        refuse_waiting(core::result_code::draining, out);
    }
    return out;
}

admission_actions
admission_controller::configure(core::time_point now,
                                core::revision in_force,
                                admission_limits const& limits,
                                bool zone_out)
{
    admission_actions out;
    if (in_force < m_in_force)
    {
        return out;
    }
    m_in_force = in_force;
    m_limits = limits;
    m_zone_out = zone_out;
    if (zone_out)
    {
        refuse_waiting(core::result_code::zone_out, out);
    }
    start_waiting(now, out);
    return out;
}

admission_actions admission_controller::timer(core::time_point now)
{
    admission_actions out;
    shed_expired(now, out);
    return out;
}

std::optional<core::time_point> admission_controller::next_timer() const
{
    if (m_waiting.empty())
    {
        return std::nullopt;
    }
    return std::min_element(m_waiting.begin(),
                            m_waiting.end(),
                            [](auto const& a, auto const& b)
                            { return a.deadline < b.deadline; })
        ->deadline;
}

std::size_t admission_controller::running() const noexcept
{
    return m_running.size();
}

std::size_t admission_controller::waiting() const noexcept
{
    return m_waiting.size();
}

core::revision admission_controller::in_force() const noexcept
{
    return m_in_force;
}

bool admission_controller::draining() const noexcept
{
    return m_draining;
}

admission_counters const& admission_controller::counters() const noexcept
{
    return m_counters;
}

bool admission_controller::has_free_slot() const noexcept
{
    return m_running.size() < std::min(m_limits.slots, m_limits.connections);
}

bool admission_controller::is_pending(core::attempt_id const& id) const
{
    return m_running.contains(id) ||
           std::any_of(m_waiting.begin(),
                       m_waiting.end(),
                       [&](auto const& entry)
                       { return entry.request.id == id; });
}

core::duration admission_controller::expected_wait() const
{
    auto const ahead = static_cast<std::int64_t>(m_waiting.size()) + 1;
    auto const slots = std::max<std::int64_t>(m_limits.slots, 1);
    return m_service_time * ahead / slots;
}

void admission_controller::start_now(core::time_point now,
                                     core::attempt_request request,
                                     admission_actions& out)
{
    m_running.emplace(request.id, now);
    ++m_counters.started;
    out.emplace_back(start{std::move(request)});
}

void admission_controller::start_waiting(core::time_point now,
                                         admission_actions& out)
{
    shed_expired(now, out);
    while (!m_waiting.empty() && has_free_slot())
    {
        auto request = std::move(m_waiting.front().request);
        m_waiting.pop_front();
        start_now(now, std::move(request), out);
    }
}

void admission_controller::shed_expired(core::time_point now,
                                        admission_actions& out)
{
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();)
    {
        if (entry->deadline > now)
        {
            ++entry;
            continue;
        }
        auto const id = entry->request.id;
        entry = m_waiting.erase(entry);
        ++m_counters.shed;
        refuse_attempt(id, core::result_code::deadline_exceeded, out);
    }
}

void admission_controller::refuse_waiting(core::result_code code,
                                          admission_actions& out)
{
    std::deque<waiting_attempt> refused;
    refused.swap(m_waiting);
    for (auto const& entry : refused)
    {
        refuse_attempt(entry.request.id, code, out);
    }
}

void admission_controller::refuse_attempt(core::attempt_id const& id,
                                          core::result_code code,
                                          admission_actions& out)
{
    // Recorded, because a late duplicate must not run after this refusal.
    m_history.record(id, {false, code});
    ++m_counters.refused;
    out.emplace_back(
        refuse{make_answer(id, core::attempt_outcome::not_run, code)});
}

core::attempt_answer
admission_controller::make_answer(core::attempt_id const& id,
                                  core::attempt_outcome outcome,
                                  core::result_code code) const
{
    core::attempt_answer made;
    made.id = id;
    made.outcome = outcome;
    made.code = code;
    made.in_use =
        static_cast<std::uint32_t>(m_running.size() + m_waiting.size());
    made.sidecar_revision = m_in_force;
    return made;
}

} // namespace turmericswitch::admission
