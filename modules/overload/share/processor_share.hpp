#ifndef TURMERICSWITCH_OVERLOAD_SHARE_PROCESSOR_SHARE_HPP
#define TURMERICSWITCH_OVERLOAD_SHARE_PROCESSOR_SHARE_HPP

#include "core/messages/workflow.hpp"
#include "core/types/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace turmericswitch::overload
{

/// A best-effort task on a worker.
struct sharing_task
{
    core::task_run run;
    /// Of the task's job; a lower one is served first. `nullopt` for a task
    /// that must not be slowed.
    std::optional<std::uint64_t> rank;
    /// CPU that the task requests.
    core::millicores need;
    /// CPU that the task used in the last report.
    core::millicores used;
    /// Pace in percent of full speed that other rules allow.
    std::uint32_t allowed_pace = 100;
};

/// Shares that are below full speed, in percent of full speed.
using processor_shares = std::map<core::task_run, std::uint32_t>;

/// Gives the tasks as much CPU as they request in the order of their ranks.
///
/// @param available CPU for all tasks together.
processor_shares share_processor(core::millicores available,
                                 std::vector<sharing_task> tasks);

/// Decides the paces of the best-effort tasks on one worker when they get
/// clearly less CPU than they request.
///
/// What the tasks used together while they were short is what they may share.
/// While they use nearly all that they were given, the amount is raised until
/// it covers all requests. If they use less than they were given and less in
/// total than before, the paces are lifted on trial. If the use then rises, the
/// paces left CPU unused, and stay lifted for a while.
class processor_sharing
{
public:
    /// Updates the paces for a new sample.
    ///
    /// @param capacity CPU of the worker.
    void update(core::time_point now,
                core::millicores capacity,
                std::vector<sharing_task> const& tasks);

    /// @return Pace of the task in percent of full speed.
    std::uint32_t pace(core::task_run const& run) const;

    /// @return CPU that the tasks may share; `nullopt` while there is no
    ///         shortage.
    std::optional<core::millicores> available() const noexcept;

private:
    struct use
    {
        std::int64_t needed = 0;
        /// CPU that the tasks could use at the paces of the last decision.
        std::int64_t granted = 0;
        std::int64_t used = 0;
    };

    use measure(std::vector<sharing_task> const& tasks) const;
    void
    adapt(core::time_point now, core::millicores capacity, use const& seen);

    std::optional<core::millicores> m_available;
    /// CPU that the tasks used together when the shortage began.
    std::int64_t m_used_before = 0;
    /// Total use when the paces were lifted on trial.
    std::optional<std::int64_t> m_used_before_trial;
    core::time_point m_lifted_until;
    processor_shares m_shares;
    /// CPU that each task could use at the pace of the last decision.
    std::map<core::task_run, std::int64_t> m_granted;
};

} // namespace turmericswitch::overload

#endif
