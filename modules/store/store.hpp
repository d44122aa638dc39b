#ifndef TURMERICSWITCH_STORE_STORE_HPP
#define TURMERICSWITCH_STORE_STORE_HPP

/// @file
/// Module store: the durable state of a control instance: the segmented
/// consensus log, the hard state (term and vote) with the identity file, and
/// the snapshots. All of it goes through a `file_system`.
///
/// Dependencies: core, wire, xxhash (in the implementation only).

#include "store/files/file_system.hpp"
#include "store/files/folder_lock.hpp"
#include "store/files/real_file_system.hpp"
#include "store/log/log_store.hpp"
#include "store/state/hard_state_store.hpp"
#include "store/state/snapshot_store.hpp"

#endif
