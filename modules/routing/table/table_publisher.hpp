#ifndef TURMERICSWITCH_ROUTING_TABLE_TABLE_PUBLISHER_HPP
#define TURMERICSWITCH_ROUTING_TABLE_TABLE_PUBLISHER_HPP

#include "core/hooks/snapshot_publisher.hpp"
#include "routing/table/route_table.hpp"

namespace turmericswitch::routing
{

/// Holds the table in force for all threads of a gateway. The watching
/// thread publishes; every other thread reads through its own
/// `table_reader`. docs/routing.md has the measurement.
using table_publisher = core::snapshot_publisher<route_table>;

/// Gives one thread the table in force. Own one per thread.
using table_reader = core::snapshot_reader<route_table>;

} // namespace turmericswitch::routing

#endif
