#include "start_simulation.hpp"

#include "workflow_builder.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::workflow::testing
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using turmericswitch::testing::runtime_model;

constexpr std::size_t max_held = 12;
constexpr core::duration call_timeout = seconds(1);
constexpr core::duration resend_after = milliseconds(1500);

} // namespace

start_simulation::start_simulation(std::uint64_t seed, start_disturbances with)
    : m_random(seed),
      m_now(at_ms(1'000'000)),
      m_model(seconds(10),
              [this](core::task_run const&) {
                  return runtime_model::task_plan{
                      milliseconds(between(50, 4000)), false};
              }),
      m_last_to_leader(m_now),
      m_last_to_sidecar(m_now)
{
    m_model.set_stop_time(milliseconds(between(0, 300)));
    m_model.begin_life(m_now);
    begin_sidecar();
    every(milliseconds(100), [this] { place(); });
    every(milliseconds(50), [this] { deliver_orders(); });
    if (with.evictions)
    {
        every(milliseconds(700),
              [this]
              {
                  if (!m_held.empty())
                  {
                      auto const last =
                          static_cast<std::int64_t>(m_held.size()) - 1;
                      std::next(m_held.begin(), between(0, last))
                          ->second.is_evicting = true;
                  }
              });
    }
    if (with.sidecar_restarts)
    {
        every(milliseconds(2900), [this] { restart_sidecar(); });
    }
    if (with.leader_changes)
    {
        every(milliseconds(3700), [this] { change_leader(); });
    }
}

void start_simulation::play(core::duration length)
{
    auto const end = m_now + length;
    while (!m_events.empty() && m_events.begin()->first <= end)
    {
        auto const next = m_events.extract(m_events.begin());
        m_now = next.key();
        next.mapped()();
    }
}

std::vector<core::task_run> start_simulation::begun_refused() const
{
    std::vector<core::task_run> result;
    for (auto const& each : m_model.history())
    {
        if (m_refused.contains(each.run))
        {
            result.push_back(each.run);
        }
    }
    return result;
}

std::set<core::task_run> const& start_simulation::ended_unseen() const noexcept
{
    return m_ended_unseen;
}

std::size_t start_simulation::refused_count() const noexcept
{
    return m_refused.size();
}

std::int64_t start_simulation::between(std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
}

bool start_simulation::has_chance(int percent)
{
    return between(1, 100) <= percent;
}

void start_simulation::after(core::duration delay, std::function<void()> run)
{
    m_events.emplace(m_now + delay, std::move(run));
}

void start_simulation::every(core::duration mean,
                             std::function<void()> const& run)
{
    after(mean * between(50, 150) / 100,
          [this, mean, run]
          {
              run();
              every(mean, run);
          });
}

// Calls to the worker

template <typename Answer>
void start_simulation::call(std::function<Answer()> const& execute,
                            std::function<void(Answer)> done,
                            Answer refusal,
                            Answer no_answer,
                            core::duration timeout)
{
    auto const reply = [this, done = std::move(done)](Answer answer)
    { return of_sidecar([done, answer] { done(answer); }); };
    auto const there = milliseconds(between(1, 8));
    auto const back = milliseconds(between(1, 8));
    auto const fate = between(1, 100);
    if (fate <= 45)
    {
        after(there,
              [this, execute, reply, back] { after(back, reply(execute())); });
        return;
    }
    if (fate <= 70)
    {
        after(there + back, reply(refusal));
        return;
    }
    if (fate <= 80)
    {
        after(there, [execute] { execute(); });
    }
    else if (fate <= 90)
    {
        after(milliseconds(between(2000, 12000)), [execute] { execute(); });
    }
    after(timeout, reply(no_answer));
}

void start_simulation::call_sync(sync_call const& content,
                                 std::function<void(worker_answer)> const& done)
{
    if (content.wait > core::duration{} && has_chance(80))
    {
        call_waiting_sync(content, done);
        return;
    }
    call<worker_answer>([this, content]
                        { return m_model.sync(m_now, content); },
                        done,
                        std::nullopt,
                        std::nullopt,
                        content.wait + call_timeout);
}

void start_simulation::call_waiting_sync(
    sync_call const& content, std::function<void(worker_answer)> const& done)
{
    m_model.sync(m_now, content);
    auto question = content;
    question.lease_until.reset();
    question.acknowledged_ends = 0;
    after(milliseconds(between(5, 1000)),
          of_sidecar([this, question, done]
                     { done(m_model.sync(m_now, question)); }));
}

// Sidecars

agent_hooks start_simulation::make_hooks()
{
    agent_hooks hooks;
    hooks.after = [this](core::duration delay, std::function<void()> run)
    { after(delay, of_sidecar(std::move(run))); };
    hooks.on_event = [](core::event const&) {};
    hooks.runtime.start = [this](start_call const& content, auto const& done)
    {
        call<start_outcome>([this, content]
                            { return m_model.start(m_now, content); },
                            done,
                            start_outcome::refused,
                            start_outcome::unknown,
                            call_timeout);
    };
    hooks.runtime.stop = [this](stop_call const& content, auto const& done)
    {
        call<bool>([this, content] { return m_model.stop(m_now, content); },
                   done,
                   false,
                   false,
                   call_timeout);
    };
    hooks.runtime.pace = [](pace_call const&, auto const& done) { done(true); };
    hooks.runtime.sync = [this](sync_call const& content, auto const& done)
    { call_sync(content, done); };
    hooks.leader.report =
        [this](core::runtime_report const& report, auto const& done)
    { send_report(report, done); };
    hooks.leader.poll_orders =
        [this](core::orders_request const& request, auto const& done)
    { send_poll(request, done); };
    return hooks;
}

std::function<void()>
start_simulation::of_sidecar(std::function<void()> run) const
{
    return [is_alive = m_is_alive, run = std::move(run)]
    {
        if (*is_alive)
        {
            run();
        }
    };
}

void start_simulation::begin_sidecar()
{
    m_is_alive = std::make_shared<bool>(true);
    auto const number = m_agents.size() + 1;
    m_agents.push_back(std::make_unique<worker_agent>(
        agent_options{core::instance_id("host"), core::incarnation(number)},
        make_hooks()));
    m_agents.back()->registered(profile("w1", 8000, m_model.life()));
}

void start_simulation::restart_sidecar()
{
    if (std::exchange(*m_is_alive, false))
    {
        m_poll.reset();
        after(milliseconds(between(20, 400)), [this] { begin_sidecar(); });
    }
}

// The leader

void start_simulation::change_leader()
{
    ++m_term;
    m_number = 0;
    m_sidecar.reset();
    m_lists.reset();
    m_poll.reset();
    for (auto& [run, held] : m_held)
    {
        held = {};
    }
    if (*m_is_alive)
    {
        m_agents.back()->leader_changed(milliseconds(10));
    }
}

core::duration start_simulation::arrival(core::time_point& last)
{
    last = std::max(last, m_now + milliseconds(between(1, 30)));
    return last - m_now;
}

void start_simulation::send_report(core::runtime_report const& report,
                                   grant_hook const& done)
{
    after(arrival(m_last_to_leader),
          of_sidecar(
              [this, report, done, term = m_term]
              {
                  auto const grant = term == m_term
                                         ? std::optional(take_report(report))
                                         : std::nullopt;
                  after(arrival(m_last_to_sidecar),
                        of_sidecar([done, grant] { done(grant); }));
              }));
}

core::runtime_grant
start_simulation::take_report(core::runtime_report const& report)
{
    if (m_sidecar != report.sidecar)
    {
        m_sidecar = report.sidecar;
        ++m_number;
        for (auto& [run, held] : m_held)
        {
            held.start_sent.reset();
            held.stop_sent.reset();
        }
    }
    if (report.runs)
    {
        m_lists = report.runs;
        if (!report.silent)
        {
            m_lease_until = std::max(m_lease_until, report.clock + seconds(5));
        }
    }
    core::runtime_grant grant;
    grant.fencing_token = token();
    grant.lease_until = m_lease_until;
    take_ends(report, grant);
    return grant;
}

void start_simulation::take_ends(core::runtime_report const& report,
                                 core::runtime_grant& grant)
{
    if (report.runs)
    {
        for (auto const& each : report.runs->ended)
        {
            m_held.erase(each.run);
            grant.acknowledged_ends = each.number;
        }
    }
    auto const take =
        [&](std::vector<core::task_run> const& runs, auto& concerned)
    {
        for (auto const& run : runs)
        {
            if (m_held.erase(run) > 0)
            {
                concerned.insert(run);
            }
            grant.acknowledged_refusals.push_back(run);
        }
    };
    take(report.refused, m_refused);
    take(report.ended_unseen, m_ended_unseen);
}

void start_simulation::send_poll(core::orders_request const& request,
                                 orders_hook const& done)
{
    auto const reply =
        [this, done](std::optional<core::runtime_orders> const& orders)
    {
        after(arrival(m_last_to_sidecar),
              of_sidecar([done, orders] { done(orders); }));
    };
    after(arrival(m_last_to_leader),
          of_sidecar(
              [this, wait = request.max_wait, reply, term = m_term]
              {
                  if (term != m_term)
                  {
                      reply(std::nullopt);
                      return;
                  }
                  m_poll = {m_now + wait, reply};
              }));
}

void start_simulation::deliver_orders()
{
    if (!m_poll || !m_lists || m_lists->may_have_more_ends)
    {
        return;
    }
    auto orders = due_orders();
    bool const is_empty = orders.starts.empty() && orders.stops.empty();
    if (is_empty && m_now < m_poll->until)
    {
        return;
    }
    if (!is_empty)
    {
        orders.batch = ++m_batch;
    }
    std::exchange(m_poll, std::nullopt)->done(orders);
}

core::runtime_orders start_simulation::due_orders()
{
    core::runtime_orders orders;
    orders.fencing_token = token();
    for (auto& [run, held] : m_held)
    {
        if (held.is_evicting)
        {
            if (is_due(held.stop_sent))
            {
                orders.stops.push_back(run);
            }
        }
        else if (!is_listed(run) && is_due(held.start_sent))
        {
            orders.starts.push_back(
                {run.task.workflow, "payload", {{run, {}, m_lease_until}}});
        }
    }
    return orders;
}

bool start_simulation::is_due(std::optional<core::time_point>& sent) const
{
    bool const result = !sent || m_now - *sent >= resend_after;
    if (result)
    {
        sent = m_now;
    }
    return result;
}

bool start_simulation::is_listed(core::task_run const& run) const
{
    return std::any_of(m_lists->running.begin(),
                       m_lists->running.end(),
                       [&run](auto const& each) { return each.run == run; });
}

void start_simulation::place()
{
    if (m_held.size() < max_held)
    {
        m_held[run_of("a", 0, m_placed++)] = {};
    }
}

std::uint64_t start_simulation::token() const noexcept
{
    return (m_term << 32U) + (m_number << 8U);
}

} // namespace turmericswitch::workflow::testing
