#ifndef TURMERICSWITCH_CORE_MESSAGES_COMMANDS_HPP
#define TURMERICSWITCH_CORE_MESSAGES_COMMANDS_HPP

#include "core/config/configuration.hpp"
#include "core/config/configuration_delta.hpp"
#include "core/messages/jobs.hpp"
#include "core/messages/workflow.hpp"
#include "core/results/result_code.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace turmericswitch::core
{

/// Replaces the rules file. Accepted only when `replaces` is the current
/// revision.
struct apply_rules
{
    operator_id author;
    revision replaces;
    std::string text;

    bool operator==(apply_rules const&) const = default;
};

/// Takes an availability zone out of service or back in.
struct set_zone
{
    operator_id author;
    /// Any of the zone's names.
    zone_id zone;
    zone_state state = zone_state::in_service;
    std::string requested_by;

    bool operator==(set_zone const&) const = default;
};

/// Starts or ends the drain of a backend server by operators.
struct set_drain
{
    operator_id author;
    backend_id backend;
    bool draining = true;

    bool operator==(set_drain const&) const = default;
};

struct submit_jobs
{
    std::vector<job_description> jobs;

    bool operator==(submit_jobs const&) const = default;
};

struct cancel_jobs
{
    std::vector<job_id> jobs;

    bool operator==(cancel_jobs const&) const = default;
};

/// A worker appeared, came back with a new life, or changed its capacity.
struct register_worker
{
    worker_description worker;

    bool operator==(register_worker const&) const = default;
};

/// What a worker reported about its tasks.
struct worker_reports
{
    worker_id worker;
    incarnation life;
    std::vector<task_report> reports;
    /// `report_sequence` of the heartbeat. A sequence that was applied before
    /// in this life is ignored, so that a late heartbeat changes nothing.
    std::uint64_t report_sequence = 0;

    bool operator==(worker_reports const&) const = default;
};

/// The lease of these attempts ended without renewal, drift included.
struct expire_leases
{
    std::vector<held_task> tasks;

    bool operator==(expire_leases const&) const = default;
};

/// The worker is gone: no tasks are placed on it until it registers again.
struct retire_worker
{
    worker_id worker;

    bool operator==(retire_worker const&) const = default;
};

struct place_task
{
    job_id job;
    /// The attempt that this placement starts.
    attempt_number attempt;
    worker_id worker;
    resources reserved;

    bool operator==(place_task const&) const = default;
};

struct evict_task
{
    job_id job;
    attempt_number attempt;
    /// Why, for history and explain.
    std::string reason;

    bool operator==(evict_task const&) const = default;
};

/// Ends a job that can never run or that fails everywhere.
struct stop_job
{
    job_id job;
    result_code code = result_code::job_failed;
    std::string reason;

    bool operator==(stop_job const&) const = default;
};

/// Decisions of one placement tick, committed in one entry.
struct placement_batch
{
    std::vector<place_task> placements;
    std::vector<evict_task> evictions;
    std::vector<stop_job> stops;

    bool operator==(placement_batch const&) const = default;
};

/// Time for which a key stays claimed. Part of the interface to callers
/// (design.md section 6).
constexpr duration claim_lifetime = std::chrono::hours(24);

/// Claims an Idempotency-Key before its request is sent to any sidecar.
struct claim_key
{
    service_id service;
    std::string key;
    request_id request;

    bool operator==(claim_key const&) const = default;
};

/// Records how the request of a claim ended.
struct finish_claim
{
    service_id service;
    std::string key;
    request_id request;
    /// True when it ran and was answered; false releases a claim whose
    /// request certainly did not run.
    bool ran = true;
    /// Of a release: time for which claims of the request are refused, because
    /// copies of them may arrive late. Set by the leader; zero in entries of
    /// earlier releases.
    duration refuse_for{};

    bool operator==(finish_claim const&) const = default;
};

/// Removes expired sessions and claims. Proposed by the leader.
struct expire_records
{
    bool operator==(expire_records const&) const = default;
};

/// Replaces the configuration document if its version is higher.
struct apply_document
{
    configuration_document document;

    bool operator==(apply_document const&) const = default;
};

/// Starts or ends the evacuation of an availability zone.
struct evacuate_zone
{
    zone_id zone;
    bool evacuated = true;

    bool operator==(evacuate_zone const&) const = default;
};

/// Replaces the configuration document in force by a changed one. Has the same
/// effect as `apply_document` with the whole document, or none.
struct apply_document_delta
{
    /// Version and checksum of the document that must be in force.
    std::uint64_t base_version = 0;
    /// XXH3 of the encoded document, source included, as is `checksum`.
    std::uint64_t base_checksum = 0;
    document_delta delta;
    /// Of the changed document.
    std::uint64_t checksum = 0;

    bool operator==(apply_document_delta const&) const = default;
};

using command_body = std::variant<apply_rules,
                                  set_zone,
                                  set_drain,
                                  submit_jobs,
                                  cancel_jobs,
                                  register_worker,
                                  worker_reports,
                                  expire_leases,
                                  retire_worker,
                                  placement_batch,
                                  claim_key,
                                  finish_claim,
                                  expire_records,
                                  apply_document,
                                  evacuate_zone,
                                  submit_workflow,
                                  cancel_workflow,
                                  workflow_progress,
                                  apply_document_delta>;

/// One command of the replicated log.
struct command_envelope
{
    /// Empty for commands of the leader itself, which need no session.
    client_id client;
    sequence_number sequence;
    /// Stamped by the leader; never decreases in the log.
    time_point cluster_time;
    /// Stamped by the leader; for history and deadlines only.
    wall_time wall;
    command_body body;
    /// For a forwarded `submit_workflow`: how long the caller waits for its
    /// answer, counted from the sending of the message; negative if its time is
    /// over. Not in the log, and not sent by processes of an earlier release.
    std::optional<duration> time_left;

    bool operator==(command_envelope const&) const = default;
};

/// Result of one command. Fields that do not apply stay empty.
struct command_reply
{
    result_code code = result_code::ok;
    std::string text;
    /// Configuration revision after the command; 0 if it was not applied.
    revision current;
    /// For `revision_conflict`: who made the current revision.
    std::optional<operator_id> winner;
    /// For `submit_jobs`: one id per job, in order.
    std::vector<job_id> jobs;
    std::optional<endpoint> leader;
    /// For `not_admitted` and `deadline_exceeded`: when a new submission has a
    /// chance.
    duration retry_after{};

    bool operator==(command_reply const&) const = default;
};

} // namespace turmericswitch::core

#endif
