#ifndef TURMERICSWITCH_WORKFLOW_AGENT_CRASH_WITNESS_HPP
#define TURMERICSWITCH_WORKFLOW_AGENT_CRASH_WITNESS_HPP

#include "core/messages/workflow.hpp"

#include <map>
#include <vector>

namespace turmericswitch::workflow
{

/// Keeps what the sidecar saw of incarnations of its worker that ended without
/// notice, until a leader acknowledges it.
class crash_witness
{
public:
    /// Handles a list of the current incarnation's runs.
    ///
    /// @param clock The worker's clock when the list was made.
    void listed(core::duration clock,
                std::vector<core::running_task> const& running);

    /// Must be called when another incarnation replaces the current one.
    ///
    /// @param is_crash False if it gave notice of its end.
    void ended(core::worker_incarnation const& id, bool is_crash);

    void acknowledge(std::vector<core::worker_incarnation> const& ids);

    /// @return Crashes that no leader has acknowledged, oldest first.
    std::vector<core::crashed_incarnation> const& crashes() const noexcept;

private:
    /// The worker's clock in the first list with each running run.
    std::map<core::task_run, core::duration> m_listed_since;
    /// The worker's clock in the last list.
    core::duration m_clock{};
    std::vector<core::crashed_incarnation> m_crashes;
};

} // namespace turmericswitch::workflow

#endif
