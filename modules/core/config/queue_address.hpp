#ifndef TURMERICSWITCH_CORE_CONFIG_QUEUE_ADDRESS_HPP
#define TURMERICSWITCH_CORE_CONFIG_QUEUE_ADDRESS_HPP

#include "core/config/configuration.hpp"

namespace turmericswitch::core
{

queue_address address_of(queue_rule const& rule);

/// @param name The queue's name in the configuration of the caller's gateway,
///        which may be older or newer than the one of `rule`.
/// @param address Empty in calls and log entries of earlier releases, which
///        have the name only.
/// @return True if a call with this name and address is for the queue.
bool is_for(queue_rule const& rule,
            queue_id const& name,
            queue_address const& address);

} // namespace turmericswitch::core

#endif
