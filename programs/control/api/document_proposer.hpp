#ifndef TURMERICSWITCH_CONTROL_API_DOCUMENT_PROPOSER_HPP
#define TURMERICSWITCH_CONTROL_API_DOCUMENT_PROPOSER_HPP

#include "core/messages/commands.hpp"
#include "node/replica.hpp"

#include <optional>

namespace turmericswitch::control
{

/// @return The command that turns `base` into `next`, or nothing if it would
///         not be shorter than half of the whole document.
std::optional<core::apply_document_delta>
make_document_delta(core::configuration_document const& base,
                    core::configuration_document const& next);

/// Proposes an operator's document: as a delta to the one in force if that is
/// short, else whole. If another document was committed first, the delta is
/// refused and the whole document is proposed.
///
/// @param node Must outlive the proposal. Use it on the event loop's thread.
/// @param done Gets the reply that the whole document gets.
void propose_document(replica& node,
                      core::apply_document command,
                      replica::reply_hook done);

} // namespace turmericswitch::control

#endif
