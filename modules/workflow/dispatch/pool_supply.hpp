#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_POOL_SUPPLY_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_POOL_SUPPLY_HPP

#include "overload/order/job_ranking.hpp"
#include "workflow/dispatch/colocation_controller.hpp"
#include "workflow/dispatch/worker_fleet.hpp"
#include "workflow/table/workflow_table.hpp"

namespace turmericswitch::workflow
{

/// CPU for the jobs that end.
struct pool_supply
{
    overload::pool_capacities capacities;
    /// Part of the requested CPU that best-effort tasks get, from 0 to 1.
    double fulfilment = 1;
};

/// Adds up the CPU of the workers that serving and long-running tasks leave.
pool_supply measure_supply(workflow_table const& table,
                           worker_fleet const& fleet,
                           colocation_controller const& colocation);

} // namespace turmericswitch::workflow

#endif
