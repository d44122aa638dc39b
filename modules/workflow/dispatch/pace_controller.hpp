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
    /// Processors that tasks without a target ask for.
    core::millicores reserved;
    /// Processors that tasks with a target ask for.
    core::millicores serving;
    /// Processors that tasks on spare time ask for, at their pace, and get.
    core::millicores spare_asked;
    core::millicores spare_used;
};

/// Controls the tasks on spare processor time of each worker: how fast they
/// may go beside serving tasks, and how many processors they can count on.
///
/// The share is cut as soon as a serving task nears its target, and grows by
/// steps below that. Interference differs by the pair of images and changes
/// within seconds, so the control follows the tail itself. Serving tasks leave
/// a part of their request unused that no report tells; it is estimated from
/// whether the tasks on spare time get what they ask for.
class pace_controller
{
public:
    /// Takes the sample of a new report.
    void update(core::worker_id const& worker, sharing_sample const& sample);

    /// @return Share for the worker's tasks on spare time, in percent.
    std::uint32_t share(core::worker_id const& worker) const;

    /// @return Part of their request that serving tasks use, in percent.
    std::int64_t serving_use(core::worker_id const& worker) const;

    /// @return The worst tail of the last report, in percent of its target.
    std::int64_t worst_tail(core::worker_id const& worker) const;

    void forget(core::worker_id const& worker);

private:
    struct worker_state
    {
        std::uint32_t share = 100;
        std::int64_t serving_use = 60;
        std::int64_t worst_tail = 0;
    };

    static void update_share(worker_state& state, sharing_sample const& sample);
    static void update_use(worker_state& state, sharing_sample const& sample);

    std::map<core::worker_id, worker_state> m_workers;
};

} // namespace turmericswitch::workflow

#endif
