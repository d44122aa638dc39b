#include "dispatch_simulation.hpp"

#include "simulation_parts.hpp"

namespace turmericswitch::workflow::testing
{

namespace
{

constexpr core::duration day = std::chrono::seconds(40);
constexpr core::duration quiet_end = std::chrono::seconds(60);
constexpr std::size_t worker_count = 4;

} // namespace

dispatch_simulation::dispatch_simulation(std::uint64_t seed)
    : m_random(core::seeded_random(seed))
{
    m_now = core::time_point(std::chrono::seconds(100));
    m_config.document.queues.push_back(queue());
    for (std::size_t i = 0; i < worker_count; ++i)
    {
        auto made = std::make_unique<site>(
            "w" + std::to_string(i),
            [this](core::task_run const&)
            {
                return ::turmericswitch::testing::runtime_model::task_plan{
                    between_ms(100, 3000), chance(10)};
            });
        made->model.begin_life(m_now);
        made->born = ++m_lives;
        m_sites.push_back(std::move(made));
    }
    elect();
    for (auto& each : m_sites)
    {
        begin_agent(*each);
    }
}

dispatch_simulation::~dispatch_simulation() = default;

std::uint64_t dispatch_simulation::below(std::uint64_t limit)
{
    return core::random_below(m_random, limit);
}

bool dispatch_simulation::chance(std::uint64_t percent)
{
    return below(100) < percent;
}

core::duration dispatch_simulation::between_ms(std::uint64_t lowest,
                                               std::uint64_t highest)
{
    return std::chrono::milliseconds(lowest + below(highest - lowest));
}

void dispatch_simulation::after(core::duration delay, task run)
{
    m_events.push({m_now + delay, ++m_order, std::move(run)});
}

void dispatch_simulation::fail(std::string what)
{
    if (m_broken.empty())
    {
        m_broken = std::move(what) + " at " +
                   std::to_string(m_now.time_since_epoch().count() / 1000) +
                   " ms";
    }
}

void dispatch_simulation::elect()
{
    if (m_leader)
    {
        // It still believes that it leads, on state that no longer grows.
        m_leader->is_deposed = true;
        m_deposed.push_back(m_leader);
    }
    m_leader = std::make_shared<leader>(m_table, ++m_term, m_now);
    plan(m_leader);
}

void dispatch_simulation::plan(std::shared_ptr<leader> const& who)
{
    after(std::chrono::milliseconds(20),
          [this, who]
          {
              if (!who->is_deposed)
              {
                  plan(who);
              }
          });
    if (!who->is_planning && !who->is_deposed)
    {
        auto const command = who->work.plan({m_now, m_now, {}}, m_config);
        if (command)
        {
            who->is_planning = true;
            after(between_ms(5, 60),
                  [this, who, command = *command]
                  {
                      who->is_planning = false;
                      if (!who->is_deposed)
                      {
                          m_table.progress(command, m_now);
                          who->work.applied(m_now, command);
                      }
                  });
        }
    }
    for (auto& poll : std::exchange(who->polls, {}))
    {
        auto orders = who->work.take_orders(
            m_now, poll.request.worker, poll.request.life);
        if (orders.batch == 0)
        {
            who->polls.push_back(std::move(poll));
        }
        else if (chance(95) || m_quiet)
        {
            poll.done(std::move(orders));
        }
        else
        {
            poll.done(std::nullopt);
        }
    }
}

void dispatch_simulation::call_worker(
    site& where, std::function<void(bool answered)> const& run)
{
    auto const life = where.model.life();
    auto const execute = [this, &where, run, life](bool answered)
    {
        bool const is_there = !where.is_down && where.model.life() == life;
        run(answered && is_there);
    };
    if (!m_quiet && chance(where.unanswered))
    {
        // Carried out late, after the caller has given up.
        after(between_ms(2000, 12000),
              [this, &where, run, life]
              {
                  if (!where.is_down && where.model.life() == life)
                  {
                      run(false);
                  }
              });
        return;
    }
    after(between_ms(1, 5), [execute] { execute(true); });
}

agent_hooks dispatch_simulation::hooks_of(site& where)
{
    agent_hooks hooks;
    auto const life = where.agent_life;
    auto const is_old = [&where, life] { return where.agent_life != life; };
    hooks.on_event = [](core::event const&) {};
    hooks.after = [this, is_old](core::duration delay, task const& run)
    {
        after(delay,
              [is_old, run]
              {
                  if (!is_old())
                  {
                      run();
                  }
              });
    };
    // Each call answers once: by the worker, or by its timeout.
    auto const once = [this, is_old](auto done, auto timeout)
    {
        auto const open = std::make_shared<bool>(true);
        auto finish = [open, is_old, done](auto value)
        {
            if (std::exchange(*open, false) && !is_old())
            {
                done(value);
            }
        };
        after(std::chrono::seconds(1), [finish, timeout] { finish(timeout); });
        return finish;
    };
    auto const expected = where.born;
    hooks.runtime.start = [this, &where, once](auto call, auto done)
    {
        auto const finish = once(done, start_outcome::unknown);
        call_worker(where,
                    [this, &where, call, finish](bool answered)
                    {
                        if (where.is_down)
                        {
                            return;
                        }
                        auto const outcome = where.model.start(m_now, call);
                        if (answered)
                        {
                            finish(outcome);
                        }
                        check();
                    });
    };
    hooks.runtime.stop = [this, &where, once](auto call, auto done)
    {
        auto const finish = once(done, false);
        call_worker(where,
                    [this, &where, call, finish](bool answered)
                    {
                        bool const done_there =
                            !where.is_down && where.model.stop(m_now, call);
                        if (answered)
                        {
                            finish(done_there);
                        }
                    });
    };
    hooks.runtime.pace = [](auto, auto done) { done(true); };
    hooks.runtime.sync = [this, &where, once, expected](auto call, auto done)
    {
        auto const finish = once(done, std::optional<sync_result>());
        call_worker(where,
                    [this, &where, call, finish, expected](bool answered)
                    {
                        if (where.is_down)
                        {
                            return;
                        }
                        auto answer = where.model.sync(m_now, call);
                        if (answer)
                        {
                            // The model counts lives per worker.
                            answer->life = core::incarnation(where.born);
                        }
                        if (answered && where.born == expected)
                        {
                            finish(answer);
                        }
                    });
    };
    hooks.leader.report = [this, &where, once](auto report, auto done)
    {
        auto const finish = once(done, std::optional<core::runtime_grant>());
        auto const to = m_leader;
        if (where.is_cut || (!m_quiet && chance(3)))
        {
            return;
        }
        after(between_ms(1, 30),
              [this, to, report, finish]
              {
                  // A deposed leader can't confirm that it leads.
                  if (to->is_deposed || !to->work.report(m_now, report))
                  {
                      return;
                  }
                  auto const answer = std::make_shared<task>();
                  *answer = [this, to, report, finish, answer]
                  {
                      if (to->is_deposed)
                      {
                          *answer = {};
                          return;
                      }
                      if (to->work.has_uncommitted_ends(report.profile.worker))
                      {
                          after(std::chrono::milliseconds(10), *answer);
                          return;
                      }
                      auto const grant = to->work.grant(report.profile.worker,
                                                        report.profile.life);
                      after(between_ms(1, 30),
                            [finish, grant] { finish(std::optional(grant)); });
                      *answer = {};
                  };
                  after(std::chrono::milliseconds(10), *answer);
              });
    };
    hooks.leader.poll_orders = [this, &where, once](auto request, auto done)
    {
        auto const finish = once(done, std::optional<core::runtime_orders>());
        // Now and then a poll still reaches a deposed leader.
        bool const is_stale = !m_deposed.empty() && chance(10) && !m_quiet;
        auto const to = is_stale ? m_deposed.back() : m_leader;
        if (where.is_cut)
        {
            return;
        }
        after(between_ms(1, 30),
              [this, to, request, finish]
              {
                  to->work.acknowledge_orders(request.worker,
                                              request.received_batch);
                  if (to->is_deposed)
                  {
                      finish(std::optional(to->work.take_orders(
                          m_now, request.worker, request.life)));
                      return;
                  }
                  std::erase_if(
                      to->polls,
                      [&request](leader::poll const& each)
                      { return each.request.worker == request.worker; });
                  to->polls.push_back({request, finish});
              });
    };
    return hooks;
}

void dispatch_simulation::begin_agent(site& where)
{
    auto const life = ++where.agent_life;
    where.agent = std::make_unique<worker_agent>(
        agent_options{core::instance_id("host-" + where.name),
                      core::incarnation(life)},
        hooks_of(where));
    // The worker announces itself at intervals.
    auto const announce = std::make_shared<task>();
    *announce = [this, &where, life, announce]
    {
        if (where.agent_life != life)
        {
            *announce = {};
            return;
        }
        if (!where.is_down)
        {
            where.agent->registered(
                profile(where.name, worker_millicores, where.born));
        }
        after(std::chrono::milliseconds(500), *announce);
    };
    (*announce)();
}

void dispatch_simulation::submit()
{
    std::vector<core::stage_description> stages;
    auto const count = 1 + below(3);
    for (std::uint64_t i = 0; i < count; ++i)
    {
        auto made = stage(1 + static_cast<std::uint32_t>(below(4)),
                          static_cast<std::int64_t>(300 + below(1500)));
        if (i > 0)
        {
            made.after = {static_cast<std::uint32_t>(i - 1)};
        }
        made.constraints.max_per_worker = static_cast<std::uint32_t>(below(3));
        made.behaviour.gang = chance(10);
        stages.push_back(std::move(made));
    }
    m_table.submit(submission("j" + std::to_string(++m_submitted), stages),
                   queue(),
                   m_now);
}

void dispatch_simulation::cancel_one()
{
    if (m_submitted > 0)
    {
        m_table.cancel(
            {core::queue_id("proofs"),
             core::workflow_id("j" + std::to_string(1 + below(m_submitted)))},
            m_now);
    }
}

void dispatch_simulation::disturb()
{
    auto& where = *m_sites[below(m_sites.size())];
    switch (below(7))
    {
    case 0:
        elect();
        break;
    case 1:
        where.is_down = true;
        after(between_ms(100, 6000),
              [this, &where]
              {
                  where.is_down = false;
                  where.model.begin_life(m_now);
                  where.born = ++m_lives;
                  begin_agent(where);
              });
        break;
    case 2:
        begin_agent(where);
        break;
    case 3:
        where.is_cut = true;
        after(between_ms(500, 8000), [&where] { where.is_cut = false; });
        break;
    case 4:
        where.unanswered = 60;
        after(between_ms(500, 4000), [&where] { where.unanswered = 0; });
        break;
    default:
        cancel_one();
        break;
    }
}

std::string dispatch_simulation::play()
{
    auto const begun = m_now;
    for (core::duration at{}; at < day; at += std::chrono::milliseconds(250))
    {
        after(at, [this] { check(); });
        after(at + between_ms(0, 250),
              [this]
              {
                  if (chance(35))
                  {
                      submit();
                  }
                  if (chance(25))
                  {
                      disturb();
                  }
              });
    }
    after(day,
          [this]
          {
              m_quiet = true;
              for (auto& each : m_sites)
              {
                  each->unanswered = 0;
                  each->is_cut = false;
              }
          });
    while (!m_events.empty() && m_broken.empty() &&
           m_now < begun + day + quiet_end)
    {
        auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
    }
    check();
    if (m_broken.empty() && !m_table.active().empty())
    {
        fail(describe(*m_table.active().begin()) + " never ends");
    }
    for (auto& each : m_sites)
    {
        ++each->agent_life;
    }
    return m_broken;
}

std::size_t dispatch_simulation::completed() const
{
    std::size_t count = 0;
    for (auto const& record : m_table.records())
    {
        count += record.state == core::workflow_state::completed ? 1 : 0;
    }
    return count;
}

} // namespace turmericswitch::workflow::testing
