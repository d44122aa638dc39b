#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_PACE_CONTROLLER_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_PACE_CONTROLLER_HPP

#include "core/messages/workflow.hpp"

#include <cstdint>
#include <map>

namespace turmericswitch::workflow
{

/// The load of one worker as its last report tells it.
struct sharing_sample
{
    /// Largest tail latency of a serving task as a share of its target, in
    /// percent; 0 if no task serves there.
    std::int64_t worst_tail_percent = 0;
    /// Tasks there that use spare processor time.
    std::uint32_t spare_tasks = 0;
};

/// Limits the tasks that use spare processor time on a worker while a serving
/// task beside them nears its target.
///
/// The share is halved as soon as a tail passes the upper mark and grows by
/// steps below the lower one. Interference differs by the pair of images and
/// changes within seconds, so the control follows the tail itself.
class pace_controller
{
public:
    /// @return Share for the worker's spare tasks, in percent.
    std::uint32_t update(core::worker_id const& worker,
                         sharing_sample const& sample);

    /// @return The share in force, 100 if the worker is unknown.
    std::uint32_t share(core::worker_id const& worker) const;

    void forget(core::worker_id const& worker);

private:
    std::map<core::worker_id, std::uint32_t> m_shares;
};

} // namespace turmericswitch::workflow

#endif
