#ifndef TURMERICSWITCH_ROUTING_ROUTING_HPP
#define TURMERICSWITCH_ROUTING_ROUTING_HPP

/// @file
/// Module routing: the policy of a gateway.
///
/// It builds the route table, chooses a backend server for each attempt and
/// decides about retries, cancels and answers of one caller request.
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
