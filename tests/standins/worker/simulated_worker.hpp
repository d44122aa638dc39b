#ifndef TURMERICSWITCH_TESTS_STANDINS_WORKER_SIMULATED_WORKER_HPP
#define TURMERICSWITCH_TESTS_STANDINS_WORKER_SIMULATED_WORKER_HPP

#include "core/messages/jobs.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::standins
{

/// Behaviour of a task, parsed from its payload.
struct task_script
{
    /// Run time at full speed.
    core::duration run_time = std::chrono::milliseconds(500);
    /// Runs until it is stopped.
    bool is_service = false;
    /// Reports a failure instead of success when the run time is over.
    bool fails = false;
};

/// Parses words such as `run_ms=500 fail service`. Ignores unknown words.
task_script parse_script(std::string const& payload);

/// Counters that the load tool reads.
struct worker_counts
{
    std::uint64_t starts = 0;
    std::uint64_t evictions = 0;
    /// Start orders that arrived after their permit expired.
    std::uint64_t permit_refusals = 0;
    /// Tasks stopped because their lease expired.
    std::uint64_t lease_ends = 0;
};

/// Simulates a worker of the platform without I/O: follows orders, permits and
/// leases, and advances simulated tasks to the time passed in.
///
/// `now` is the worker's own monotonic clock. Not thread-safe.
class simulated_worker
{
public:
    /// @param fails_everything Makes every task fail.
    simulated_worker(core::worker_description description,
                     bool fails_everything);

    /// Advances all tasks to `now`, and reports those that finish, fail or lose
    /// their lease.
    void tick(core::duration now);

    /// @return The heartbeat to send, with all unacknowledged reports.
    core::heartbeat_request heartbeat(core::duration now);

    /// Removes acknowledged reports and applies renewals, orders and starts.
    void handle_answer(core::duration now,
                       core::heartbeat_answer const& answer);

    worker_counts const& counts() const noexcept;

    /// @return Number of times each job finished on this worker, by the name in
    /// the payload, or the job id without one.
    std::map<std::string, std::uint64_t> const& finished() const noexcept;

private:
    struct task
    {
        core::attempt_number attempt;
        core::resources reserved;
        std::string name;
        task_script script;
        /// Run time so far, at full speed; also the checkpoint's content.
        core::duration progress{};
        /// Time up to which `progress` is computed.
        core::duration updated_at{};
        core::duration lease_end{};
        std::uint32_t cpu_permille = 1000;
    };

    void start(core::duration now,
               core::duration sent_at,
               core::start_order const& order);
    void renew(core::duration sent_at, core::renew_order const& order);
    void apply_order(core::duration now, core::task_order const& order);
    void advance_progress(core::duration now, task& running);
    /// Advances a task to `now` and reports its end.
    ///
    /// @return True if the task finished, failed or lost its lease.
    bool update_task(core::duration now, core::job_id job, task& running);
    /// Queues a report and fences the attempt, so that it can't start again.
    void report(core::job_id job,
                core::attempt_number attempt,
                core::task_event event,
                std::optional<core::checkpoint_id> checkpoint = {},
                core::result_code code = core::result_code::ok);
    static core::checkpoint_id checkpoint_of(task const& running);

    core::worker_description m_description;
    bool m_fails_everything;
    std::map<core::job_id, task> m_tasks;
    /// Highest attempt that must not start any more, per job.
    std::map<core::job_id, core::attempt_number> m_fenced_attempts;
    std::vector<core::task_report> m_reports;
    std::uint64_t m_report_sequence = 0;
    /// Sequence number of each report in `m_reports`.
    std::vector<std::uint64_t> m_report_sequences;
    worker_counts m_counts;
    std::map<std::string, std::uint64_t> m_finished;
};

} // namespace turmericswitch::standins

#endif
