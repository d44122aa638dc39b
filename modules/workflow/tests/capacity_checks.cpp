#include "simulation_parts.hpp"

// Workers whose capacity shrinks and grows, and the check of each start against
// it.

namespace turmericswitch::workflow::testing
{

void dispatch_simulation::set_capacity(worker_host& host,
                                       core::resources const& capacity)
{
    host.capacities.push_back({m_now, capacity, {}});
}

void dispatch_simulation::shrink_one()
{
    auto& host = *m_hosts[random_below(m_hosts.size())];
    constexpr std::int64_t percent = 100;
    auto const part = [this](std::int64_t all)
    { return all * static_cast<std::int64_t>(random_below(101)) / percent; };
    auto capacity = full_capacity();
    capacity.cpu = core::millicores(part(capacity.cpu.value()));
    capacity.memory = core::byte_count(part(capacity.memory.value()));
    capacity.accelerators =
        core::accelerator_count(part(capacity.accelerators.value()));
    set_capacity(host, capacity);
    schedule(between_ms(3000, 15000),
             [this, &host] { set_capacity(host, full_capacity()); });
}

core::worker_profile
dispatch_simulation::profile_of(worker_host const& host) const
{
    auto result = profile(host.name, worker_millicores, host.worker_life);
    result.capacity = host.capacities.back().capacity;
    return result;
}

void dispatch_simulation::register_worker(worker_host& host)
{
    auto& registered_at = host.capacities.back().registered_at;
    registered_at = registered_at.value_or(m_now);
    host.agent->registered(profile_of(host));
}

void dispatch_simulation::vary_needs(core::stage_description& stage)
{
    stage.need.memory =
        core::byte_count(static_cast<std::int64_t>(1 + random_below(24)) << 20);
    stage.need.accelerators = core::accelerator_count(chance(20) ? 1 : 0);
    stage.behaviour.uses_spare_cpu = chance(15);
}

core::resources dispatch_simulation::used_on(worker_host const& host) const
{
    core::resources used;
    for (auto const& [ref, run] : host.model.running())
    {
        if (auto const* const about = m_table.find_stage(ref))
        {
            used += reserved_by(*about);
        }
    }
    return used;
}

void dispatch_simulation::check_start(worker_host const& host,
                                      core::time_point called_at)
{
    // A capacity limits the calls that the sidecar makes after the worker has
    // registered with it. The capacity at the execution counts too, because a
    // worker may have grown.
    core::resources limit;
    for (auto each = host.capacities.rbegin(); each != host.capacities.rend();
         ++each)
    {
        limit = core::component_max(limit, each->capacity);
        if (each->registered_at && *each->registered_at < called_at)
        {
            break;
        }
    }
    auto const used = used_on(host);
    if (!core::fits_in(used, limit))
    {
        fail("a start brought " + host.name + " over its capacity");
    }
}

} // namespace turmericswitch::workflow::testing
