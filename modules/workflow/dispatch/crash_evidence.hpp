#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_CRASH_EVIDENCE_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_CRASH_EVIDENCE_HPP

#include "core/messages/workflow.hpp"

#include <map>
#include <set>
#include <vector>

namespace turmericswitch::workflow
{

/// The crashes of workers that sidecars reported to this leader.
class crash_evidence
{
public:
    void add(core::time_point now,
             std::vector<core::crashed_incarnation> const& reported);

    /// @return The runs that the sidecar saw as established, or null if no
    ///         crash of the incarnation was reported.
    std::set<core::task_run> const* find(core::worker_id const& worker,
                                         core::incarnation life) const;

    /// Removes crashes that were not reported again for a minute; their
    /// sidecars have an acknowledgement or are gone.
    void prune(core::time_point now);

private:
    struct crash
    {
        std::set<core::task_run> established;
        core::time_point reported_at;
    };

    std::map<core::worker_incarnation, crash> m_crashes;
};

} // namespace turmericswitch::workflow

#endif
