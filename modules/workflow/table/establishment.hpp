#ifndef TURMERICSWITCH_WORKFLOW_TABLE_ESTABLISHMENT_HPP
#define TURMERICSWITCH_WORKFLOW_TABLE_ESTABLISHMENT_HPP

#include "core/types/units.hpp"

#include <chrono>

namespace turmericswitch::workflow
{

/// Time on the worker's clock for which lists must contain a run until it
/// counts as established. A task that crashes its worker does so within
/// milliseconds of its start; the rest covers workers that are slow.
constexpr core::duration establishment_time = std::chrono::milliseconds(500);

} // namespace turmericswitch::workflow

#endif
