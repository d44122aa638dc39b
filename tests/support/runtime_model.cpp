#include "support/runtime_model.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace turmericswitch::testing
{

using core::run_end;
using workflow::start_outcome;

runtime_model::runtime_model(core::duration longest_lease, plan_hook plan)
    : m_longest(longest_lease), m_plan(std::move(plan))
{
}

void runtime_model::set_stop_time(core::duration time)
{
    m_stop_time = time;
}

void runtime_model::set_ends_per_answer(std::size_t count)
{
    m_ends_per_answer = count;
}

void runtime_model::set_acknowledgement(acknowledgement reading)
{
    m_reading = reading;
}

void runtime_model::begin_life(core::time_point now)
{
    for (auto const& [task, each] : m_running)
    {
        m_history[each.record].ended = now;
    }
    ++m_life;
    m_born = now;
    m_token = 0;
    m_lease = {};
    m_last_end = 0;
    m_acknowledged = 0;
    m_running.clear();
    m_closed.clear();
    m_ended.clear();
}

core::duration runtime_model::clock(core::time_point now) const
{
    return std::chrono::floor<std::chrono::milliseconds>(now - m_born);
}

bool runtime_model::is_outdated(std::uint64_t token)
{
    if (token < m_token)
    {
        return true;
    }
    m_token = token;
    return false;
}

void runtime_model::extend(core::duration until, core::time_point now)
{
    m_lease = std::max(m_lease, std::min(until, clock(now) + m_longest));
}

void runtime_model::end(run const& ended, run_end how, core::time_point when)
{
    auto& record = m_history[ended.record];
    record.ended = when;
    record.how = how;
    m_running.erase(ended.id.task);
    auto& closed = m_closed[ended.id.task];
    closed = std::max(closed, ended.id.attempt);
    m_ended.push_back(
        {{++m_last_end, ended.id, how, core::checkpoint_id(ended.checkpoint)},
         ended.record});
    if (m_reading == acknowledgement::of_all_ends)
    {
        drop_ends(m_acknowledged);
    }
}

void runtime_model::drop_ends(std::uint64_t acknowledged)
{
    std::erase_if(m_ended,
                  [&](listed_end const& each)
                  {
                      bool const is_released = each.end.number <= acknowledged;
                      if (is_released && !each.has_lapsed)
                      {
                          m_history[each.record].is_acknowledged = true;
                      }
                      return is_released;
                  });
}

void runtime_model::advance(core::time_point now)
{
    std::vector<run> over;
    bool const has_lapsed = clock(now) > m_lease;
    for (auto& each : m_ended)
    {
        each.has_lapsed = each.has_lapsed || has_lapsed;
    }
    for (auto const& [task, each] : m_running)
    {
        if (has_lapsed || now >= each.ends ||
            (each.stops_at && now >= *each.stops_at))
        {
            over.push_back(each);
        }
    }
    for (auto const& each : over)
    {
        if (now >= each.ends)
        {
            end(each,
                each.will_fail ? run_end::failed : run_end::done,
                each.ends);
        }
        else if (each.stops_at && now >= *each.stops_at)
        {
            end(each, run_end::stopped, *each.stops_at);
        }
        else
        {
            end(each, run_end::lapsed, m_born + m_lease);
        }
    }
}

start_outcome runtime_model::start(core::time_point now,
                                   workflow::start_call const& call)
{
    advance(now);
    if (is_outdated(call.fencing_token))
    {
        return start_outcome::stale_token;
    }
    auto const& id = call.start.run;
    if (auto const known = m_running.find(id.task); known != m_running.end())
    {
        return known->second.id == id ? start_outcome::started
                                      : start_outcome::refused;
    }
    if (auto const closed = m_closed.find(id.task);
        closed != m_closed.end() && id.attempt <= closed->second)
    {
        extend(call.start.lease_until, now);
        return start_outcome::already_ended;
    }
    if (call.start.lease_until <= clock(now))
    {
        return start_outcome::refused;
    }
    extend(call.start.lease_until, now);
    auto const plan = m_plan(id);
    m_history.push_back({id, now, std::nullopt, std::nullopt});
    m_running.emplace(id.task,
                      run{id,
                          call.payload,
                          call.start.checkpoint.value(),
                          now,
                          now + plan.work,
                          plan.fails,
                          100,
                          std::nullopt,
                          m_history.size() - 1});
    return start_outcome::started;
}

bool runtime_model::stop(core::time_point now, workflow::stop_call const& call)
{
    advance(now);
    if (is_outdated(call.fencing_token))
    {
        return false;
    }
    auto const known = m_running.find(call.run.task);
    if (known != m_running.end() && known->second.id == call.run)
    {
        if (!known->second.stops_at)
        {
            known->second.stops_at = now + m_stop_time;
        }
        advance(now);
        return true;
    }
    auto& closed = m_closed[call.run.task];
    closed = std::max(closed, call.run.attempt);
    return true;
}

bool runtime_model::pace(core::time_point now, workflow::pace_call const& call)
{
    advance(now);
    if (is_outdated(call.fencing_token))
    {
        return false;
    }
    auto const known = m_running.find(call.pace.run.task);
    if (known == m_running.end() || known->second.id != call.pace.run)
    {
        return false;
    }
    known->second.pace = call.pace.percent;
    return true;
}

std::optional<workflow::sync_result>
runtime_model::sync(core::time_point now, workflow::sync_call const& call)
{
    advance(now);
    if (is_outdated(call.fencing_token))
    {
        return std::nullopt;
    }
    if (call.lease_until)
    {
        extend(*call.lease_until, now);
    }
    m_acknowledged = std::max(m_acknowledged, call.acknowledged_ends);
    drop_ends(call.acknowledged_ends);
    workflow::sync_result answer;
    answer.clock = clock(now);
    answer.life = core::incarnation(m_life);
    auto const listed = std::min(m_ended.size(), m_ends_per_answer);
    for (std::size_t i = 0; i < listed; ++i)
    {
        answer.runs.ended.push_back(m_ended[i].end);
    }
    // As the platform's adapter concludes it: a list of full length may be cut.
    answer.runs.may_have_more_ends = listed == m_ends_per_answer;
    for (auto const& [task, each] : m_running)
    {
        core::running_task row;
        row.run = each.id;
        row.checkpoint = core::checkpoint_id(each.checkpoint);
        answer.runs.running.push_back(row);
    }
    return answer;
}

std::map<core::task_ref, runtime_model::run> const&
runtime_model::running() const noexcept
{
    return m_running;
}

std::uint64_t runtime_model::life() const noexcept
{
    return m_life;
}

std::vector<core::task_run> runtime_model::released_done() const
{
    std::vector<core::task_run> released;
    for (auto const& each : m_history)
    {
        if (each.is_acknowledged && each.how == run_end::done)
        {
            released.push_back(each.run);
        }
    }
    return released;
}

std::vector<runtime_model::run_record> const&
runtime_model::history() const noexcept
{
    return m_history;
}

} // namespace turmericswitch::testing
