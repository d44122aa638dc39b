#ifndef TURMERICSWITCH_CORE_MESSAGES_STATE_HPP
#define TURMERICSWITCH_CORE_MESSAGES_STATE_HPP

#include "core/config/configuration.hpp"
#include "core/messages/commands.hpp"
#include "core/messages/jobs.hpp"
#include "core/messages/workflow.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::core
{

/// The share of a worker that an attempt holds until its end is certain.
struct task_hold
{
    worker_id worker;
    /// Life of the worker when the attempt was placed; only this life
    /// receives the start order.
    incarnation life;
    resources reserved;

    bool operator==(task_hold const&) const = default;
};

/// When a job reached its states, in cluster time. Zero means not yet.
struct job_times
{
    time_point submitted;
    time_point placed;
    time_point started;
    time_point checkpointed;
    time_point ended;

    bool operator==(job_times const&) const = default;
};

/// Everything the cluster knows durably about one job.
struct job_record
{
    job_id job;
    job_description description;
    job_state state = job_state::queued;
    /// The latest attempt; 0 before the first placement.
    attempt_number attempt;
    /// Set while the attempt may still run, also for a cancelled job.
    std::optional<task_hold> hold;
    worker_id last_worker;
    std::optional<checkpoint_id> checkpoint;
    job_times times;
    /// Attempts that reported their start.
    std::uint32_t runs = 0;
    std::uint32_t failures = 0;
    result_code code = result_code::ok;
    std::string reason;

    bool operator==(job_record const&) const = default;
};

struct worker_record
{
    worker_description description;
    /// Last applied `report_sequence` of this life.
    std::uint64_t acknowledged_reports = 0;
    bool retired = false;

    bool operator==(worker_record const&) const = default;
};

/// One accepted change of the configuration.
struct change_record
{
    revision made;
    operator_id author;
    /// Who asked for it, as named in the rules or the command.
    std::string requested_by;
    wall_time wall;
    std::string text;

    bool operator==(change_record const&) const = default;
};

/// An availability zone that a command took out of service.
struct zone_command
{
    /// All names of the zone when the command was given, canonical first.
    std::vector<std::string> names;
    operator_id author;
    std::string requested_by;

    bool operator==(zone_command const&) const = default;
};

/// A backend server that a command set to drain.
struct drain_command
{
    backend_id backend;
    operator_id author;

    bool operator==(drain_command const&) const = default;
};

struct configuration_record
{
    revision current;
    /// Who made the current revision.
    operator_id author;
    std::string text;
    std::vector<zone_command> zones;
    std::vector<drain_command> drains;
    std::vector<change_record> history;
    configuration_document document;
    std::vector<zone_id> evacuated;

    bool operator==(configuration_record const&) const = default;
};

/// The last command of a client and its reply.
struct session_record
{
    client_id client;
    sequence_number sequence;
    time_point used;
    command_reply reply;

    bool operator==(session_record const&) const = default;
};

struct claim_record
{
    service_id service;
    std::string key;
    request_id request;
    bool finished = false;
    time_point expires;

    bool operator==(claim_record const&) const = default;
};

/// A request that has released its claim without having run.
struct released_request_record
{
    request_id request;
    /// Claims of the request are refused until then.
    time_point expires;

    bool operator==(released_request_record const&) const = default;
};

/// Events that were ignored because they were late or lost a race.
struct state_counters
{
    std::uint64_t stale_reports = 0;
    std::uint64_t dropped_placements = 0;
    std::uint64_t dropped_evictions = 0;
    std::uint64_t stale_expiries = 0;
    std::uint64_t resent_commands = 0;
    std::uint64_t revision_conflicts = 0;

    bool operator==(state_counters const&) const = default;
};

/// One part of a snapshot of the replicated state. Only the first part has
/// more than jobs.
struct state_snapshot
{
    log_index applied;
    time_point now;
    std::uint64_t last_job = 0;
    configuration_record config;
    std::vector<session_record> sessions;
    std::vector<claim_record> claims;
    std::vector<worker_record> workers;
    std::vector<job_record> jobs;
    state_counters counters;
    std::vector<workflow_record> workflows;
    /// Longest lease that a leader may have granted to a worker; zero if none
    /// was recorded.
    duration longest_lease{};
    std::vector<unknown_cancel_record> unknown_cancels;
    std::vector<released_request_record> released_requests;

    bool operator==(state_snapshot const&) const = default;
};

} // namespace turmericswitch::core

#endif
