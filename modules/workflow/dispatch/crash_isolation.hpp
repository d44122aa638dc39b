#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_CRASH_ISOLATION_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_CRASH_ISOLATION_HPP

#include "workflow/dispatch/candidate_worker.hpp"
#include "workflow/dispatch/pending_stage.hpp"

#include <vector>

namespace turmericswitch::workflow
{

/// Closes the worker on which the stage's isolated task can start soonest to
/// other workflows. While it is closed, its runs become established, so the
/// next plans choose it again or one that is better.
void close_worker(pending_stage const& pending,
                  std::vector<candidate_worker*> const& candidates);

/// @return True if an isolated task of the stage is not among the placed ones.
bool has_unplaced_isolated(pending_stage const& pending,
                           std::vector<core::run_placement> const& placed);

/// @return True if an isolated task of the stage may close one more worker.
bool may_isolate(pending_stage const& pending,
                 std::vector<candidate_worker*> const& candidates);

} // namespace turmericswitch::workflow

#endif
