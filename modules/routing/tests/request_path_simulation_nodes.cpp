#include "request_path_simulation.hpp"

#include "simulation_topology.hpp"

namespace turmericswitch::routing
{

void request_path_simulation::restart_gateway(std::size_t index)
{
    auto& node = m_gateways[index];
    for (auto const& [id, flow] : node.flows)
    {
        m_observed[id].gateway_restarted = !flow->done();
    }
    node.flows.clear();
    node.incarnation = core::incarnation(m_next_incarnation++);
    node.table = nullptr;
    node.context = std::make_unique<flow_context>(
        flow_context{location_of(gateway_zone[index]),
                     [&node] { return node.table; },
                     backend_selector(power_of_two_policy()),
                     core::seeded_random(m_random()),
                     {},
                     &m_counters});
    update_route_table(index);
}

void request_path_simulation::restart_sidecar(std::size_t index)
{
    auto& node = m_sidecars[index];
    node.incarnation = core::incarnation(m_next_incarnation++);
    node.core = std::make_unique<admission::admission_controller>(
        node.incarnation, limits, memory);
    node.draining = false;
    node.executing = 0;
    m_version = core::sequence_number(m_version.value() + 1);
    configure_sidecar(index);
}

void request_path_simulation::set_drain(std::size_t index, bool draining)
{
    m_sidecars[index].draining = draining;
    m_version = core::sequence_number(m_version.value() + 1);
    perform(index, m_sidecars[index].core->drain(m_now, draining));
}

void request_path_simulation::toggle_zone(std::size_t index)
{
    bool const out = zone_is_out(index);
    m_config.zones[index].state =
        out ? core::zone_state::in_service : core::zone_state::out_of_service;
    m_revision = core::revision(m_revision.value() + 1);
    configure_sidecar(index);
}

void request_path_simulation::configure_sidecar(std::size_t index)
{
    perform(index,
            m_sidecars[index].core->configure(
                m_now, m_revision, limits, zone_is_out(index)));
}

void request_path_simulation::update_route_table(std::size_t index)
{
    auto& node = m_gateways[index];
    core::watch_answer answer;
    answer.current = m_revision;
    answer.config = m_config;
    answer.registry = {core::term(1), m_version};
    answer.whole_registry = true;
    for (std::size_t i = 0; i < sidecar_count; ++i)
    {
        answer.changed.push_back(entry_of(i));
    }
    if (auto next = build_next_table(node.table.get(), answer, m_now))
    {
        node.table = next;
    }
}

bool request_path_simulation::zone_is_out(std::size_t index) const
{
    return m_config.zones[index].state == core::zone_state::out_of_service;
}

std::uint32_t
request_path_simulation::gateway_of(core::request_id const& id) const
{
    for (std::size_t i = 0; i < gateway_count; ++i)
    {
        if (m_gateways[i].incarnation == id.gateway)
        {
            return static_cast<std::uint32_t>(i);
        }
    }
    return 0;
}

core::backend_entry request_path_simulation::entry_of(std::size_t index) const
{
    core::backend_entry entry;
    entry.backend = core::backend_id("backend" + std::to_string(index));
    entry.sidecar.port = static_cast<std::uint16_t>(first_sidecar + index);
    entry.sidecar_incarnation = m_sidecars[index].incarnation;
    entry.place = location_of(index);
    entry.service = core::service_id("book");
    entry.slots = limits.slots;
    entry.connections = limits.connections;
    entry.draining = m_sidecars[index].draining;
    return entry;
}

void request_path_simulation::check_end_state()
{
    std::map<std::string, int> runs_of_key;
    for (auto const& [id, observed] : m_observed)
    {
        runs_of_key[observed.key] += observed.key.empty() ? 0 : observed.runs;
        bool const twice = observed.runs > 1 || runs_of_key[observed.key] > 1;
        if (!observed.idempotent && twice)
        {
            m_violations.ran_twice = observed.body + " " + observed.key;
        }
        if (observed.refused_as_not_run && observed.runs > 0)
        {
            m_violations.false_not_run = observed.body;
        }
        if (observed.ends > 1 ||
            (observed.ends == 0 && !observed.gateway_restarted))
        {
            m_violations.not_ended = observed.body;
        }
        if (observed.crossings > 1)
        {
            m_violations.crossed_region_twice = observed.body;
        }
    }
    for (auto const& gateway : m_gateways)
    {
        for (auto const& target :
             gateway.table->services.begin()->second.backends)
        {
            if (target.load->outstanding() != 0)
            {
                m_violations.not_ended = "a place in backend_load";
            }
        }
    }
}

} // namespace turmericswitch::routing
