#ifndef TURMERICSWITCH_ROUTING_TABLE_TABLE_BUILDER_HPP
#define TURMERICSWITCH_ROUTING_TABLE_TABLE_BUILDER_HPP

#include "routing/table/route_table.hpp"

namespace turmericswitch::routing
{

/// Builds the route table that results from applying an answer of control to
/// `previous`. Call it only on the thread that watches control, then publish
/// the result.
///
/// A configuration that isn't newer than the current one is ignored. A
/// registry delta is applied only to a registry of the same epoch.
///
/// @param previous Null for the first table.
/// @param now Start of the ramp of availability zones that return to service
/// with this answer.
/// @return The next table, or null with `last_reason`: the answer's own code
/// if it is not `ok`; `stale_sequence` if the registry is older or a delta of
/// another epoch; `not_ready` if the first answer lacks the configuration or
/// the complete registry.
std::shared_ptr<route_table const>
build_next_table(route_table const* previous,
                 core::watch_answer const& answer,
                 core::time_point now);

} // namespace turmericswitch::routing

#endif
