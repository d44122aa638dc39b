#ifndef TURMERICSWITCH_WORKFLOW_AGENT_FENCING_TOKEN_HPP
#define TURMERICSWITCH_WORKFLOW_AGENT_FENCING_TOKEN_HPP

#include "core/types/ids.hpp"

#include <cstdint>

/// @file
/// Fencing tokens of the calls to a worker.
///
/// A worker keeps its id when it restarts, and its next incarnation has seen no
/// token. So the token rises with each incarnation: the first sync call with a
/// higher token makes the incarnation reject every call that was sent to an
/// earlier one, however late it arrives.
///
/// From the highest bits to the lowest, a token has the leader's term, the
/// number that the leader gave to the incarnation, and the number of
/// incarnations that the sidecar has seen since the leader's last grant.

namespace turmericswitch::workflow
{

/// @param incarnation Number of the worker's incarnation among all that this
///        leader has seen, from 1.
/// @return The token that a leader grants for calls to the incarnation.
std::uint64_t fencing_token(core::term term, std::uint64_t incarnation);

/// @param last Token of the calls to the earlier incarnation.
/// @return A token for calls to the next incarnation before a leader has
///         granted one. Every later grant has a higher token.
std::uint64_t next_fencing_token(std::uint64_t last);

} // namespace turmericswitch::workflow

#endif
