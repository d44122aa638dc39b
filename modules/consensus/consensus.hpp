#ifndef TURMERICSWITCH_CONSENSUS_CONSENSUS_HPP
#define TURMERICSWITCH_CONSENSUS_CONSENSUS_HPP

/// @file
/// Module consensus: the Raft protocol of a control instance as a state
/// machine without I/O. A driver feeds it events and executes the actions that
/// it returns, in order.
///
/// Dependencies: core, wire (encoding of membership entries).

#include "consensus/node/raft_events.hpp"
#include "consensus/node/raft_node.hpp"
#include "consensus/node/raft_options.hpp"

#endif
