#ifndef TURMERICSWITCH_CLUSTER_STATE_CLUSTER_STATE_HPP
#define TURMERICSWITCH_CLUSTER_STATE_CLUSTER_STATE_HPP

/// @file
/// Module cluster_state: the replicated state machine (configuration, jobs,
/// workflows, client sessions, claims of idempotency keys), and the control
/// leader's volatile backend registry, leases and heartbeat answers. Nothing
/// here does I/O or reads a clock.
///
/// Dependencies: core, naming, rules, wire, workflow.

#include "cluster_state/leader/backend_registry.hpp"
#include "cluster_state/leader/heartbeat_service.hpp"
#include "cluster_state/leader/lease_table.hpp"
#include "cluster_state/machine/state_machine.hpp"

#endif
