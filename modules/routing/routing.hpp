#ifndef TURMERICSWITCH_ROUTING_ROUTING_HPP
#define TURMERICSWITCH_ROUTING_ROUTING_HPP

/// @file
/// Module routing: the routing decisions of a gateway, without I/O.
///
/// It builds the route table, selects a backend server for each attempt of a
/// caller's request, and decides about retries, hedges, cancels and the
/// answer to the caller.
///
/// Dependencies: core, naming.

#include "routing/flow/flow_types.hpp"
#include "routing/flow/request_flow.hpp"
#include "routing/selection/backend_selector.hpp"
#include "routing/selection/balancing_policy.hpp"
#include "routing/table/route_table.hpp"
#include "routing/table/table_builder.hpp"
#include "routing/table/table_publisher.hpp"

#endif
