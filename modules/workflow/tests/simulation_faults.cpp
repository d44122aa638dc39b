#include "simulation_parts.hpp"

#include <utility>

// Faults of leaders, workers and sidecars.

namespace turmericswitch::workflow::testing
{

void dispatch_simulation::inject_fault()
{
    auto& host = *m_hosts[random_below(m_hosts.size())];
    switch (random_below(8))
    {
    case 0:
        elect();
        break;
    case 7:
        restart_worker(host);
        break;
    case 1:
        host.is_down = true;
        ++host.outages;
        schedule(between_ms(100, 6000),
                 [this, &host]
                 {
                     if (host.is_gone)
                     {
                         return;
                     }
                     begin_incarnation(host);
                     start_agent(host);
                 });
        break;
    case 2:
        start_agent(host);
        break;
    case 3:
        host.is_partitioned = true;
        ++host.partitions;
        schedule(between_ms(500, 8000),
                 [&host] { host.is_partitioned = false; });
        break;
    case 4:
        host.unanswered = 60;
        schedule(between_ms(500, 4000), [&host] { host.unanswered = 0; });
        break;
    default:
        cancel_one();
        break;
    }
}

void dispatch_simulation::make_some_unhealthy()
{
    constexpr std::uint64_t share_percent = 40;
    for (auto const& each : m_hosts)
    {
        if (!chance(share_percent))
        {
            continue;
        }
        auto& host = *each;
        host.faults = {
            20 + random_below(60), random_below(15), random_below(20)};
        if (m_setup.longest_delay_over_restarts > core::duration{})
        {
            host.faults = {
                20 + random_below(40), random_below(10), 20 + random_below(30)};
        }
        schedule(between_ms(1000, 6000),
                 [&host, phase = ++host.unhealthy_phases]
                 {
                     if (host.unhealthy_phases == phase)
                     {
                         host.faults = {};
                     }
                 });
    }
}

void dispatch_simulation::restart_sidecar_soon(worker_host& host)
{
    schedule(between_ms(0, 30),
             [this, &host, life = host.agent_life]
             {
                 if (host.agent_life != life || host.is_gone)
                 {
                     return;
                 }
                 start_agent(host);
                 if (!m_faults_off && chance(30))
                 {
                     restart_sidecar_soon(host);
                 }
             });
}

void dispatch_simulation::restart_worker(worker_host& host)
{
    if (host.is_down)
    {
        return;
    }
    host.is_down = true;
    schedule(between_ms(1, 3000),
             [this, &host]
             {
                 if (!host.is_gone)
                 {
                     begin_incarnation(host);
                 }
             });
}

void dispatch_simulation::flap_after_late_start(worker_host& host)
{
    constexpr int most_restarts = 5;
    if (!m_faults_off && m_setup.flap_after_late_start_percent > 0 &&
        chance(m_setup.flap_after_late_start_percent))
    {
        schedule(between_ms(1, 50),
                 [this, &host] { flap(host, most_restarts); });
    }
}

::turmericswitch::testing::call_fate dispatch_simulation::draw_calm_fate()
{
    using ::turmericswitch::testing::call_fate;
    return chance(m_setup.only_late_starts_percent) ? call_fate::executed_late
                                                    : call_fate::answered;
}

void dispatch_simulation::restart_at_arrival(worker_host& host,
                                             core::duration delay)
{
    if (m_setup.only_late_starts_percent == 0 || m_faults_off)
    {
        return;
    }
    schedule(delay - std::chrono::milliseconds(50),
             [this, &host] { restart_worker(host); });
}

void dispatch_simulation::flap(worker_host& host, int restarts)
{
    if (host.is_down || restarts == 0)
    {
        return;
    }
    host.is_down = true;
    schedule(between_ms(300, 1500),
             [this, &host, restarts]
             {
                 if (host.is_gone || !host.is_down)
                 {
                     return;
                 }
                 begin_incarnation(host);
                 schedule(between_ms(300, 1500),
                          [this, &host, restarts, life = host.worker_life]
                          {
                              if (host.worker_life == life)
                              {
                                  flap(host, restarts - 1);
                              }
                          });
             });
}

void dispatch_simulation::restart_workers()
{
    constexpr std::uint64_t most = 3;
    auto const count = 1 + random_below(most);
    for (std::uint64_t i = 0; i < count; ++i)
    {
        restart_worker(*m_hosts[random_below(m_hosts.size())]);
    }
}

void dispatch_simulation::begin_incarnation(worker_host& host)
{
    host.is_down = false;
    host.model.begin_life(m_now);
    host.worker_life = ++m_last_life;
    for (auto const& call : std::exchange(host.waiting_calls, {}))
    {
        call();
    }
    if (m_setup.longest_delay_over_restarts > core::duration{} &&
        !m_faults_off && chance(50))
    {
        host.refuses_sync_until = m_now + between_ms(50, 3000);
    }
    schedule(between_ms(3, 20),
             [this, &host, life = host.worker_life]
             {
                 if (!host.is_down && host.worker_life == life)
                 {
                     register_worker(host);
                 }
             });
}

} // namespace turmericswitch::workflow::testing
