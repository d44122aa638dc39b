#ifndef TURMERICSWITCH_CONTROL_API_GROUP_STATUS_JSON_HPP
#define TURMERICSWITCH_CONTROL_API_GROUP_STATUS_JSON_HPP

#include "consensus/membership/redundancy.hpp"

#include <nlohmann/json_fwd.hpp>

namespace turmericswitch::control
{

/// @param now Clock of `replication_status::last_answer`.
/// @return The redundancy of the control group, and each member with id,
/// addresses, role, lag in entries and, but for the leader, whether it has
/// answered and the time since its last answer. Before the first answer that is
/// the time since this leader began to send to the member.
nlohmann::json group_status_json(consensus::group_view const& view,
                                 core::time_point now);

} // namespace turmericswitch::control

#endif
