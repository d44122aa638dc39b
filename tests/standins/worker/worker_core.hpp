#ifndef TURMERICSWITCH_TESTS_STANDINS_WORKER_WORKER_CORE_HPP
#define TURMERICSWITCH_TESTS_STANDINS_WORKER_WORKER_CORE_HPP

#include "core/messages/jobs.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::standins
{

/// What a task does, read from its payload.
struct task_script
{
    /// Work in the task, at full speed.
    core::duration run_time = std::chrono::milliseconds(500);
    /// Runs until it is stopped.
    bool is_service = false;
    bool fails = false;
};

/// Reads words such as `run_ms=500 fail service`; unknown words are ignored.
task_script parse_script(std::string const& payload);

/// Counts for the measurement program.
struct worker_counts
{
    std::uint64_t starts = 0;
    std::uint64_t evictions = 0;
    std::uint64_t permit_refusals = 0;
    std::uint64_t lease_ends = 0;
};

/// A platform's worker without I/O: it obeys orders, permits and leases, and
/// runs scripted tasks in the time that it is given.
///
/// `now` is its own monotonic clock; all calls come from one thread.
class worker_core
{
public:
    worker_core(core::worker_description description, bool fails_everything);

    /// Lets tasks run on until `now`: they finish, fail or lose their lease.
    void tick(core::duration now);

    core::heartbeat_request heartbeat(core::duration now);

    void answered(core::duration now, core::heartbeat_answer const& answer);

    worker_counts const& counts() const noexcept;

    /// @return How often each job finished here, by name in the payload.
    std::map<std::string, std::uint64_t> const& finished() const noexcept;

private:
    struct task
    {
        core::attempt_number attempt;
        core::resources reserved;
        std::string name;
        task_script script;
        core::duration done{};
        core::duration updated{};
        core::duration lease_end{};
        std::uint32_t cpu_permille = 1000;
    };

    void start(core::duration now,
               core::duration sent_at,
               core::start_order const& order);
    void renew(core::duration sent_at, core::renew_order const& order);
    void obey(core::duration now, core::task_order const& order);
    void advance(core::duration now, task& running);
    bool end_if_over(core::duration now, core::job_id job, task& running);
    void report(core::job_id job,
                core::attempt_number attempt,
                core::task_event event,
                std::optional<core::checkpoint_id> checkpoint = {},
                core::result_code code = core::result_code::ok);
    static core::checkpoint_id checkpoint_of(task const& running);

    core::worker_description m_description;
    bool m_fails_everything;
    std::map<core::job_id, task> m_tasks;
    /// Highest attempt that may no longer start, per job.
    std::map<core::job_id, core::attempt_number> m_fences;
    std::vector<core::task_report> m_reports;
    std::uint64_t m_report_sequence = 0;
    /// Sequence number of each report in `m_reports`.
    std::vector<std::uint64_t> m_report_numbers;
    worker_counts m_counts;
    std::map<std::string, std::uint64_t> m_finished;
};

} // namespace turmericswitch::standins

#endif
