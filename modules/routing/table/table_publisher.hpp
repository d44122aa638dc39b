#ifndef TURMERICSWITCH_ROUTING_TABLE_TABLE_PUBLISHER_HPP
#define TURMERICSWITCH_ROUTING_TABLE_TABLE_PUBLISHER_HPP

#include "core/hooks/snapshot_publisher.hpp"
#include "routing/table/route_table.hpp"

namespace turmericswitch::routing
{

/// Publishes the current route table to all threads of a gateway. The thread
/// that watches control publishes; every other thread reads through its own
/// `table_reader`. See docs/routing.md for the measurement.
using table_publisher = core::snapshot_publisher<route_table>;

/// Returns the current route table. Use one object per thread.
using table_reader = core::snapshot_reader<route_table>;

} // namespace turmericswitch::routing

#endif
