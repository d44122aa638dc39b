#ifndef TURMERICSWITCH_WORKFLOW_WORKFLOW_HPP
#define TURMERICSWITCH_WORKFLOW_WORKFLOW_HPP

/// @file
/// Module workflow: scheduling of jobs that consist of stages and tasks.
///
/// - table: the replicated table of workflows.
/// - dispatch: the leader's decisions on worker leases, task placement, orders
///   to workers, and the CPU pace of best-effort tasks.
/// - agent: the core of the sidecar that executes the orders at a worker.
///
/// The module does no I/O and reads no clock.
///
/// Dependencies: core.

#include "workflow/agent/worker_agent.hpp"
#include "workflow/dispatch/dispatcher.hpp"
#include "workflow/table/workflow_table.hpp"

#endif
