#ifndef TURMERICSWITCH_CORE_MESSAGES_JOBS_HPP
#define TURMERICSWITCH_CORE_MESSAGES_JOBS_HPP

#include "core/config/configuration.hpp"
#include "core/results/result_code.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::core
{

/// A job as its owner describes it. A job is one task that runs on one
/// worker at a time.
struct job_description
{
    std::string name;
    team_id team;
    task_kind kind;
    priority_class priority = priority_class::batch;
    resources declared;
    duration expected_run_time{};
    /// When the work must be finished, if it has a deadline.
    std::optional<wall_time> deadline;
    /// Passed to the worker unchanged.
    std::string payload;

    bool operator==(job_description const&) const = default;
};

enum class job_state : std::uint8_t
{
    queued,
    starting,
    running,
    evicting,
    suspended,
    finished,
    failed,
    cancelled,
};

/// @return The state's name as shown to operators.
std::string_view to_string(job_state state);

/// @return True for finished, failed and cancelled.
bool is_final(job_state state) noexcept;

/// A worker as the platform describes it.
struct worker_description
{
    worker_id worker;
    incarnation life;
    location place;
    rack_id rack;
    resources capacity;

    bool operator==(worker_description const&) const = default;
};

/// What one task used at a time that may lie well in the past.
struct usage_sample
{
    job_id job;
    attempt_number attempt;
    /// Age of the measurement when the worker sent it.
    duration age{};
    resources used;
    /// Observed time per unit of work over the time alone; 1000 means no
    /// slowdown. Absent when the task does not report it.
    std::optional<std::uint32_t> slowdown_permille;

    bool operator==(usage_sample const&) const = default;
};

enum class task_event : std::uint8_t
{
    started,
    finished,
    failed,
    stopped,
    checkpointed,
    refused,
};

/// What happened to one attempt of a job at a worker.
struct task_report
{
    job_id job;
    attempt_number attempt;
    task_event event = task_event::started;
    /// Set for `checkpointed`, and for `stopped` after a last checkpoint.
    std::optional<checkpoint_id> checkpoint;
    result_code code = result_code::ok;
    std::string detail;

    bool operator==(task_report const&) const = default;
};

/// One task a worker holds, as listed in every heartbeat.
struct held_task
{
    job_id job;
    attempt_number attempt;

    auto operator<=>(held_task const&) const = default;
};

/// `POST /v1/workers/heartbeat`.
struct heartbeat_request
{
    worker_description worker;
    /// The worker's own monotonic clock when it sent this.
    duration sent_at{};
    /// Reports are repeated until a heartbeat answer acknowledges them.
    std::uint64_t report_sequence = 0;
    std::vector<held_task> held;
    std::vector<task_report> reports;
    std::vector<usage_sample> usage;

    bool operator==(heartbeat_request const&) const = default;
};

struct start_order
{
    job_id job;
    attempt_number attempt;
    task_kind kind;
    resources reserved;
    std::optional<checkpoint_id> checkpoint;
    std::string payload;
    /// The start is allowed until this long after the echoed send time.
    duration permit{};
    /// The task must stop by itself this long after the echoed send time
    /// unless its lease was renewed.
    duration lease{};

    bool operator==(start_order const&) const = default;
};

struct renew_order
{
    job_id job;
    attempt_number attempt;
    duration lease{};

    bool operator==(renew_order const&) const = default;
};

enum class task_action : std::uint8_t
{
    checkpoint,
    /// Checkpoint, then stop.
    evict,
    /// Stop without a checkpoint.
    stop,
    throttle,
};

struct task_order
{
    job_id job;
    attempt_number attempt;
    task_action action = task_action::stop;
    /// For `throttle`: share of the reserved processor time, 1000 is all.
    std::uint32_t cpu_permille = 1000;

    bool operator==(task_order const&) const = default;
};

/// Answer to a heartbeat.
struct heartbeat_answer
{
    result_code code = result_code::ok;
    /// Echo of the worker's send time; all durations count from it.
    duration sent_at{};
    /// Reports up to this sequence are committed and need not be repeated.
    std::uint64_t acknowledged_reports = 0;
    duration next_heartbeat{};
    std::vector<start_order> starts;
    std::vector<renew_order> renewals;
    std::vector<task_order> orders;
    std::optional<endpoint> leader;

    bool operator==(heartbeat_answer const&) const = default;
};

} // namespace turmericswitch::core

#endif
