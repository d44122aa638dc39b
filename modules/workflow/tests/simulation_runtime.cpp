#include "simulation_parts.hpp"

// Sidecars, and their calls to the workers.

namespace turmericswitch::workflow::testing
{

void dispatch_simulation::call_worker(
    worker_host& host, std::function<void(bool answered)> const& run)
{
    // A call names the worker, which keeps its id when it restarts. So a call
    // that is under way is executed by the incarnation that is up when it
    // arrives; its connection is closed at its timeout. A worker that has
    // received a call and restarts knows nothing of it. Calls do not leave the
    // instance, so they are lost with it.
    auto const execute = [this,
                          &host,
                          run,
                          called_at = m_now,
                          life = host.worker_life,
                          outages = host.outages](bool answered)
    {
        bool const is_under_way = m_now - called_at < call_timeout;
        bool const arrives = host.worker_life == life || is_under_way;
        if (!host.is_down && host.outages == outages && arrives)
        {
            run(answered);
        }
    };
    if (!m_faults_off && chance(host.unanswered))
    {
        // Under way for long, or executed after the caller's timeout.
        auto const delay =
            chance(50) ? between_ms(5, 1000) : between_ms(2000, 12000);
        schedule(delay, [execute] { execute(false); });
        return;
    }
    schedule(between_ms(1, 5), [execute] { execute(true); });
}

agent_hooks dispatch_simulation::hooks_of(worker_host& host)
{
    sidecar_process const sidecar{&host, host.agent_life};
    agent_hooks hooks;
    hooks.on_event = [](core::event const&) {};
    hooks.after = [this, sidecar](core::duration delay, task const& run)
    {
        schedule(delay,
                 [sidecar, run]
                 {
                     if (!sidecar.is_replaced())
                     {
                         run();
                     }
                 });
    };
    hooks.runtime = runtime_calls_of(sidecar);
    hooks.leader = leader_calls_of(sidecar);
    return hooks;
}

worker_runtime
dispatch_simulation::runtime_calls_of(sidecar_process const& sidecar)
{
    worker_runtime calls;
    calls.start = [this, sidecar](auto call, auto done)
    {
        auto& host = *sidecar.host;
        auto const finish =
            complete_once(sidecar, done, start_outcome::unknown);
        call_worker(
            host,
            [this, &host, call, finish, called_at = m_now](bool answered)
            {
                host.model.advance(m_now);
                auto const before = host.model.running().size();
                auto const outcome = host.model.start(m_now, call);
                if (host.model.running().size() > before)
                {
                    m_begun.insert(call.start.run.task.workflow);
                    check_start(host, called_at);
                }
                if (answered)
                {
                    finish(outcome);
                }
                check();
                if (outcome == start_outcome::started)
                {
                    started(host, call.start.run);
                }
            });
    };
    calls.stop = [this, sidecar](auto call, auto done)
    {
        auto& host = *sidecar.host;
        auto const finish = complete_once(sidecar, done, false);
        call_worker(host,
                    [this, &host, call, finish](bool answered)
                    {
                        bool const done_there = host.model.stop(m_now, call);
                        if (answered)
                        {
                            finish(done_there);
                        }
                    });
    };
    calls.pace = [](auto, auto done) { done(true); };
    calls.sync = [this, sidecar](auto call, auto done)
    {
        auto& host = *sidecar.host;
        auto const finish =
            complete_once(sidecar, done, std::optional<sync_result>());
        call_worker(
            host,
            [this, &host, call, finish, connected_to = host.answered_life](
                bool answered) mutable
            {
                if (host.worker_life != connected_to)
                {
                    call.lease_until.reset();
                    call.acknowledged_ends = 0;
                }
                if (answered)
                {
                    host.answered_life = host.worker_life;
                }
                auto answer = host.model.sync(m_now, call);
                if (answer)
                {
                    // The model numbers incarnations per worker, the
                    // simulation across all workers.
                    answer->life = core::incarnation(host.worker_life);
                }
                if (answered)
                {
                    finish(answer);
                }
            });
    };
    return calls;
}

void dispatch_simulation::start_agent(worker_host& host)
{
    auto const life = ++host.agent_life;
    host.agent = std::make_unique<worker_agent>(
        agent_options{core::instance_id("host-" + host.name),
                      core::incarnation(life)},
        hooks_of(host));
    // The worker registers repeatedly.
    auto const announce = std::make_shared<task>();
    *announce = [this, &host, life, announce]
    {
        if (host.agent_life != life)
        {
            *announce = {};
            return;
        }
        if (!host.is_down)
        {
            register_worker(host);
        }
        schedule(std::chrono::milliseconds(500), *announce);
    };
    (*announce)();
}

} // namespace turmericswitch::workflow::testing
