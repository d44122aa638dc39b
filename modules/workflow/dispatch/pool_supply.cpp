#include "workflow/dispatch/pool_supply.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

namespace
{

constexpr double millicores_per_core = 1000;

/// Below this the reports say too little.
constexpr double min_fulfilment = 0.1;

bool is_usable(worker_view const& view)
{
    return view.has_runs && !view.left && !view.is_silent &&
           !view.profile.draining;
}

} // namespace

pool_supply measure_supply(workflow_table const& table,
                           worker_fleet const& fleet,
                           colocation_controller const& colocation)
{
    constexpr std::int64_t percent = 100;
    pool_supply supply;
    std::int64_t wanted = 0;
    std::int64_t used = 0;
    for (auto const& [worker, view] : fleet.all())
    {
        if (!is_usable(view))
        {
            continue;
        }
        auto reserved = view.profile.capacity.cpu.value();
        auto spare = reserved;
        auto const serving_use = colocation.serving_use(worker);
        for (auto const& held : table.held_on(worker))
        {
            auto const* const stage = table.find_stage(held.run.task);
            if (stage == nullptr)
            {
                continue;
            }
            auto const& behaviour = stage->behaviour;
            auto const need = stage->need.cpu.value();
            if (behaviour.uses_spare_cpu)
            {
                auto const running = view.running.find(held.run);
                if (running != view.running.end())
                {
                    wanted += need;
                    used += running->second.load;
                }
                continue;
            }
            bool const is_serving = behaviour.target_latency > core::duration{};
            spare -= is_serving ? need * serving_use / percent : need;
            reserved -= behaviour.long_running ? need : 0;
        }
        auto const& service = view.profile.service;
        supply.capacities[{service, false}] +=
            static_cast<double>(reserved) / millicores_per_core;
        supply.capacities[{service, true}] +=
            static_cast<double>(spare) / millicores_per_core;
    }
    if (wanted > 0)
    {
        supply.fulfilment =
            std::clamp(static_cast<double>(used) / static_cast<double>(wanted),
                       min_fulfilment,
                       1.0);
    }
    return supply;
}

} // namespace turmericswitch::workflow
