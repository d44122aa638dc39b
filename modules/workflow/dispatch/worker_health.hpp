#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_HEALTH_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_WORKER_HEALTH_HPP

#include "core/messages/workflow.hpp"

#include <map>
#include <vector>

namespace turmericswitch::workflow
{

/// Tells workers that fail what they start from workflows that fail anywhere.
///
/// A worker is set aside when tasks of several workflows failed there, or
/// several starts were refused, in a row. After a pause it gets work again, and
/// one more failure sets it aside for twice as long.
class worker_health
{
public:
    /// Notes the end of a run.
    void record_end(core::time_point now,
                    core::worker_id const& worker,
                    core::task_run const& run,
                    core::run_end how);

    /// @return True while the worker must get no work.
    bool is_quarantined(core::time_point now,
                        core::worker_id const& worker) const;

    /// Forgets a worker, for example because a new life has begun.
    void forget(core::worker_id const& worker);

private:
    struct history
    {
        /// Workflows whose tasks failed since the last success.
        std::vector<core::workflow_id> failed;
        /// Starts that were refused since the last success.
        std::size_t refusals = 0;
        core::time_point until;
        core::duration pause{};
    };

    std::map<core::worker_id, history> m_workers;
};

} // namespace turmericswitch::workflow

#endif
