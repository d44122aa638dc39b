#ifndef TURMERICSWITCH_ROUTING_TABLE_TABLE_BUILDER_HPP
#define TURMERICSWITCH_ROUTING_TABLE_TABLE_BUILDER_HPP

#include "routing/table/route_table.hpp"

namespace turmericswitch::routing
{

/// Builds the table that follows `previous` after an answer of control. Use
/// it on the one thread that watches control, then publish the result.
///
/// A configuration older than the one in force is left out. A registry
/// delta is applied only to a registry of the same epoch.
///
/// @param previous Null for the first table.
/// @param now Start of the ramp of zones that return with this answer.
/// @return The next table, or null with `last_reason`: the answer's own code
/// when it is not ok, `stale_sequence` when it is from an older epoch or
/// version, `not_ready` when the first answer lacks the configuration or the
/// whole registry.
std::shared_ptr<route_table const>
build_next_table(route_table const* previous,
                 core::watch_answer const& answer,
                 core::time_point now);

} // namespace turmericswitch::routing

#endif
