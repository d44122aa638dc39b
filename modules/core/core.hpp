#ifndef TURMERICSWITCH_CORE_CORE_HPP
#define TURMERICSWITCH_CORE_CORE_HPP

/// @file
/// Module core: the types that every other module shares.
///
/// It has strong ids and units, numbered result codes with the last reason,
/// hooks for randomness, read-copy-update, the compiled configuration, the
/// message aggregates, the decision record and the numbered log events.
///
/// Dependencies: none.

#include "core/config/configuration.hpp"
#include "core/decisions/decision_record.hpp"
#include "core/events/event.hpp"
#include "core/hooks/overloaded.hpp"
#include "core/hooks/random_source.hpp"
#include "core/hooks/snapshot_publisher.hpp"
#include "core/messages/commands.hpp"
#include "core/messages/consensus.hpp"
#include "core/messages/jobs.hpp"
#include "core/messages/registry.hpp"
#include "core/messages/request_path.hpp"
#include "core/messages/state.hpp"
#include "core/results/last_reason.hpp"
#include "core/results/result_code.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#endif
