#ifndef TURMERICSWITCH_WORKFLOW_WORKFLOW_HPP
#define TURMERICSWITCH_WORKFLOW_WORKFLOW_HPP

/// @file
/// Module workflow: jobs of stages and tasks. It has the replicated table of
/// workflows, the leader's dispatcher (workers, leases, placement, orders,
/// pacing) and the core of the sidecar that carries out orders at a worker.
/// Nothing here does I/O or reads a clock.
///
/// Dependencies: core.

#include "workflow/agent/worker_agent.hpp"
#include "workflow/dispatch/dispatcher.hpp"
#include "workflow/table/workflow_table.hpp"

#endif
