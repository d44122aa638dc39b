#ifndef TURMERICSWITCH_CONSENSUS_CONSENSUS_HPP
#define TURMERICSWITCH_CONSENSUS_CONSENSUS_HPP

/// @file
/// Module consensus: the Raft state machine of a control instance, without
/// I/O. A shell feeds it events and carries out its actions in order.
///
/// Dependencies: core, wire (form of membership entries).

#include "consensus/node/raft_events.hpp"
#include "consensus/node/raft_node.hpp"
#include "consensus/node/raft_options.hpp"

#endif
