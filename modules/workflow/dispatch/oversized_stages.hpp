#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_OVERSIZED_STAGES_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_OVERSIZED_STAGES_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/pending_stage.hpp"
#include "workflow/dispatch/worker_fleet.hpp"

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace turmericswitch::workflow
{

/// A stage whose tasks fit on no worker of its service, even on an empty one.
struct oversized_stage
{
    stage_ref stage;
    core::service_id service;
    /// Why, for operators.
    std::string reason;
};

/// @return Why no known worker could take a task of the stage even if the
///         worker was empty; empty if one could.
std::string why_no_worker_fits(pending_stage const& pending,
                               worker_fleet const& fleet);

/// Finds each stage that fits on no worker, once.
///
/// A stage is examined when it has waited for a while, because a new leader
/// does not know all workers at first.
class oversized_stages
{
public:
    /// Returns since when a stage has had unplaced tasks.
    using waiting_hook = std::function<core::time_point(stage_ref const&)>;

    /// @return The stages that were found since the last call.
    std::vector<oversized_stage>
    find_new(core::time_point now,
             std::vector<pending_stage const*> const& waiting,
             worker_fleet const& fleet,
             waiting_hook const& waiting_since);

    /// @return Number of waiting stages that fit on no worker.
    std::size_t count() const noexcept;

private:
    core::time_point m_next;
    std::set<stage_ref> m_found;
};

} // namespace turmericswitch::workflow

#endif
