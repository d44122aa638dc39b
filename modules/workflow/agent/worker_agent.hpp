#ifndef TURMERICSWITCH_WORKFLOW_AGENT_WORKER_AGENT_HPP
#define TURMERICSWITCH_WORKFLOW_AGENT_WORKER_AGENT_HPP

#include "core/events/event.hpp"
#include "core/messages/workflow.hpp"
#include "workflow/agent/worker_runtime.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmericswitch::workflow
{

/// The leader as the agent sees it; nothing means no answer of a leader.
struct leader_calls
{
    std::function<void(core::runtime_report,
                       std::function<void(std::optional<core::runtime_grant>)>)>
        report;
    std::function<void(
        core::orders_request,
        std::function<void(std::optional<core::runtime_orders>)>)>
        poll_orders;
};

struct agent_options
{
    core::instance_id host;
    core::incarnation life;
    /// Longest time between two looks at the worker.
    core::duration sync_interval = std::chrono::seconds(1);
};

struct agent_hooks
{
    worker_runtime runtime;
    leader_calls leader;
    /// Runs a task later on the agent's thread.
    std::function<void(core::duration, std::function<void()>)> after;
    /// Takes decisions and changes of what the agent knows.
    core::event_hook on_event;
};

/// The core of the sidecar beside a worker.
///
/// It carries the leader's orders to the worker, keeps the worker's lease as
/// the leader granted it, and brings the worker's lists to the leader. It
/// decides nothing about placement. It reports a start as refused only when
/// the run certainly does not and will not run: after a call without an answer
/// it first has the worker leave a tombstone by a stop.
///
/// Not thread-safe: all calls and callbacks come on one thread.
class worker_agent
{
public:
    worker_agent(agent_options options, agent_hooks hooks);

    /// Takes what the worker says of itself.
    ///
    /// @return False if it is of an earlier life than the known one.
    bool registered(core::worker_profile profile);

    /// The worker has said that it ends.
    void unregistered(core::worker_id const& worker);

    /// Ends all loops, for a planned stop.
    void stop();

    /// Calls to the worker that wait for an answer.
    std::size_t open_calls() const noexcept;

    core::worker_profile const* profile() const noexcept;

private:
    struct pending_start
    {
        core::run_start start;
        std::string payload;
        int tries = 0;
        int unanswered = 0;
    };

    void begin_incarnation(core::worker_profile profile);
    void sync_worker(core::duration wait);
    void handle_sync_result(std::uint64_t epoch,
                            std::optional<sync_result> answer);
    void schedule_sync(core::duration delay, core::duration wait);
    void refuse_unlisted_stopped_runs();
    void send_report();
    /// Sends what has come up since the last report, with the worker's clock
    /// of now.
    void report_again();
    void handle_grant(std::uint64_t epoch,
                      std::optional<core::runtime_grant> grant);
    void apply_grant(core::runtime_grant const& grant);
    bool has_unacknowledged_ends() const;
    void poll_orders();
    void execute_orders(core::runtime_orders const& orders);
    void begin_start(core::run_start const& start, std::string const& payload);
    void call_start(core::task_run const& run);
    void handle_start_outcome(core::task_run const& run, start_outcome outcome);
    void begin_stop(core::task_run const& run);
    void call_stop(core::task_run const& run);
    void call_pace(core::run_pace const& pace);
    void mark_refused(core::task_run const& run, char const* why);
    bool is_current(std::uint64_t epoch) const noexcept;
    /// Reports an event about a run; its names come before the other fields.
    void emit_run_event(core::event_code code,
                        core::task_run const& run,
                        std::vector<core::event_field> more = {}) const;
    void set_leader_reached(bool is_reached);

    agent_options m_options;
    agent_hooks m_hooks;
    /// Whether the last report was answered by a leader.
    bool m_leader_reached = true;
    bool m_stopped = false;
    /// Counts lives of the worker; answers for an earlier one are dropped.
    std::uint64_t m_epoch = 0;
    std::optional<core::worker_profile> m_profile;
    bool m_left = false;

    std::uint64_t m_fencing_token = 0;
    core::duration m_lease_until{};
    std::uint64_t m_acknowledged_ends = 0;
    core::duration m_worker_clock{};
    std::optional<core::worker_runs> m_runs;
    std::set<core::task_run> m_refused;

    std::uint64_t m_syncs_begun = 0;
    std::uint64_t m_current_sync = 0;
    bool m_syncing = false;
    bool m_reporting = false;
    bool m_report_again = false;
    bool m_polling = false;
    std::uint64_t m_received_batch = 0;
    std::size_t m_open_calls = 0;

    std::map<core::task_run, pending_start> m_starts;
    /// Tries of each stop that is under way.
    std::map<core::task_run, int> m_stops;
    /// Stopped runs, with the number of the first look that shows the effect.
    std::map<core::task_run, std::uint64_t> m_stopped_runs;
};

} // namespace turmericswitch::workflow

#endif
