#include "core/config/queue_address.hpp"

namespace turmericswitch::core
{

queue_address address_of(queue_rule const& rule)
{
    return {rule.host, rule.path_prefix};
}

bool is_for(queue_rule const& rule,
            queue_id const& name,
            queue_address const& address)
{
    return address == queue_address{} ? rule.queue == name
                                      : address_of(rule) == address;
}

} // namespace turmericswitch::core
