#include "simulation_parts.hpp"

// The leader, and the calls of the sidecars to it.

namespace turmericswitch::workflow::testing
{

void dispatch_simulation::elect()
{
    if (m_leader)
    {
        // The deposed leader keeps answering polls for orders.
        m_leader->is_deposed = true;
        m_deposed.push_back(m_leader);
    }
    m_leader =
        std::make_shared<leader>(m_table, m_setup, core::term(++m_term), m_now);
    plan(m_leader);
}

void dispatch_simulation::plan(std::shared_ptr<leader> const& target)
{
    schedule(std::chrono::milliseconds(20),
             [this, target]
             {
                 if (!target->is_deposed)
                 {
                     plan(target);
                 }
             });
    if (!target->is_planning && !target->is_deposed)
    {
        auto const command = target->work.plan({m_now, m_now, {}}, m_config);
        if (command)
        {
            target->is_planning = true;
            schedule(between_ms(5, 60),
                     [this, target, command = *command]
                     {
                         target->is_planning = false;
                         if (!target->is_deposed)
                         {
                             m_table.progress(command, m_now);
                             target->work.applied(m_now, command);
                             note_done(command);
                         }
                     });
        }
    }
    check_backlog();
    auto& announced = target->announced;
    for (auto& poll : std::exchange(target->polls, {}))
    {
        // Orders to one worker may withdraw gang members on others, which are
        // announced for the next round if their poll was served before.
        announced.merge(target->work.workers_with_orders(m_now));
        bool const is_announced = announced.erase(poll.request.worker) > 0;
        auto orders = target->work.take_orders(
            m_now, poll.request.worker, poll.request.life, m_config);
        if (orders.batch == 0)
        {
            poll.is_new = false;
            target->polls.push_back(std::move(poll));
            continue;
        }
        // Orders that became due before the poll arrived are not announced
        // again.
        if (!poll.is_new && !is_announced)
        {
            fail("orders for " + poll.request.worker.value() +
                 " that nothing announced");
        }
        if (chance(95) || m_faults_off)
        {
            poll.done(std::move(orders));
        }
        else
        {
            poll.done(std::nullopt);
        }
    }
}

leader_calls
dispatch_simulation::leader_calls_of(sidecar_process const& sidecar)
{
    leader_calls calls;
    calls.report = [this, sidecar](auto report, auto done)
    {
        auto const& host = *sidecar.host;
        auto const finish =
            complete_once(sidecar, done, std::optional<core::runtime_grant>());
        auto const target = m_leader;
        if (host.is_partitioned || (!m_faults_off && chance(3)))
        {
            return;
        }
        schedule(
            between_ms(1, 30),
            [this, target, report, finish]
            {
                // A deposed leader can't confirm its leadership.
                if (target->is_deposed || !target->work.report(m_now, report))
                {
                    return;
                }
                auto const answer = std::make_shared<task>();
                *answer = [this, target, report, finish, answer]
                {
                    if (target->is_deposed)
                    {
                        *answer = {};
                        return;
                    }
                    if (target->work.has_uncommitted_ends(
                            report.profile.worker))
                    {
                        schedule(std::chrono::milliseconds(10), *answer);
                        return;
                    }
                    auto const grant = target->work.grant(report.profile.worker,
                                                          report.profile.life);
                    schedule(between_ms(1, 30),
                             [finish, grant] { finish(std::optional(grant)); });
                    *answer = {};
                };
                schedule(std::chrono::milliseconds(10), *answer);
            });
    };
    calls.poll_orders = [this, sidecar](auto request, auto done)
    {
        auto const& host = *sidecar.host;
        auto const finish =
            complete_once(sidecar, done, std::optional<core::runtime_orders>());
        // Some polls still reach a deposed leader.
        bool const is_stale = !m_deposed.empty() && chance(10) && !m_faults_off;
        auto const target = is_stale ? m_deposed.back() : m_leader;
        if (host.is_partitioned)
        {
            return;
        }
        schedule(between_ms(1, 30),
                 [this, target, request, finish]
                 {
                     target->work.acknowledge_orders(request.worker,
                                                     request.received_batch);
                     if (target->is_deposed)
                     {
                         finish(std::optional(target->work.take_orders(
                             m_now, request.worker, request.life, m_config)));
                         return;
                     }
                     std::erase_if(
                         target->polls,
                         [&request](leader::poll const& each)
                         { return each.request.worker == request.worker; });
                     target->polls.push_back({request, finish});
                 });
    };
    return calls;
}

} // namespace turmericswitch::workflow::testing
