#ifndef TURMERICSWITCH_CONTROL_API_STATE_JSON_HPP
#define TURMERICSWITCH_CONTROL_API_STATE_JSON_HPP

#include "core/messages/commands.hpp"
#include "core/messages/consensus.hpp"
#include "core/messages/state.hpp"
#include "node/control_node.hpp"

#include <string>
#include <vector>

namespace turmericswitch::control
{

// JSON bodies of the operators' interface. Call the functions that take a node
// on its event loop's thread.

/// @return Member, term, leader, log indexes, zones, jobs by state and
/// counters; on the leader also processes, backend servers, placement and the
/// members of the control group with their redundancy.
std::string status_to_json(control_node& node);

/// @return Revision and text of the rules.
std::string rules_to_json(control_node& node);

/// @param limit Maximum number of changes to list, newest first.
std::string history_to_json(control_node& node, std::size_t limit);

/// @param state Lists jobs in this state, or in every state if absent.
/// @param limit Maximum number of jobs to list.
std::string jobs_to_json(control_node& node,
                         std::optional<core::job_state> state,
                         std::size_t limit);

std::string job_to_json(core::job_record const& job);

std::string members_to_json(control_node& node);

std::string reply_to_json(core::command_reply const& reply);

} // namespace turmericswitch::control

#endif
