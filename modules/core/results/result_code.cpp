#include "core/results/result_code.hpp"

#include <algorithm>

namespace turmericswitch::core
{

std::vector<result_code_info> const& result_code_table()
{
    static std::vector<result_code_info> const table{
        {result_code::ok, "ok", "The operation succeeded."},
        {result_code::settings_syntax,
         "settings_syntax",
         "The settings file is not valid INI."},
        {result_code::settings_unknown_key,
         "settings_unknown_key",
         "The settings file has a key that the program does not know."},
        {result_code::settings_bad_value,
         "settings_bad_value",
         "A setting has a bad value, unit or address."},
        {result_code::settings_missing_key,
         "settings_missing_key",
         "A required setting is missing."},
        {result_code::usage, "usage", "The command line is wrong."},
        {result_code::rule_syntax,
         "rule_syntax",
         "A line of the rules file can't be parsed."},
        {result_code::rule_missing_requester,
         "rule_missing_requester",
         "A rule has no trailing comment naming who asked for it."},
        {result_code::rule_unknown_kind,
         "rule_unknown_kind",
         "A rule starts with an unknown keyword."},
        {result_code::rule_bad_value,
         "rule_bad_value",
         "A rule has a value out of range or with a bad unit."},
        {result_code::rule_duplicate,
         "rule_duplicate",
         "Two rules say the same about the same thing."},
        {result_code::rule_conflict,
         "rule_conflict",
         "Two rules contradict each other."},
        {result_code::name_ambiguous,
         "name_ambiguous",
         "A name would mean two things."},
        {result_code::name_unknown,
         "name_unknown",
         "A rule uses a name that no rule declares."},
        {result_code::rule_not_utf8,
         "rule_not_utf8",
         "The rules file is not valid UTF-8."},
        {result_code::rule_too_large,
         "rule_too_large",
         "The rules file or one of its lines is too large."},
        {result_code::not_run,
         "not_run",
         "The request did not run; it may be sent again."},
        {result_code::outcome_unknown,
         "outcome_unknown",
         "The request may have run; it must not be sent again blindly."},
        {result_code::duplicate_request,
         "duplicate_request",
         "A request with this Idempotency-Key has already run."},
        {result_code::no_route,
         "no_route",
         "No rule or backend server matches the request."},
        {result_code::no_capacity,
         "no_capacity",
         "No backend server has a free slot or queue place; the request did "
         "not run."},
        {result_code::deadline_exceeded,
         "deadline_exceeded",
         "The deadline passed before the request ran."},
        {result_code::draining,
         "draining",
         "The backend server is leaving; the request did not run there."},
        {result_code::wrong_incarnation,
         "wrong_incarnation",
         "The attempt was meant for an earlier life of the sidecar."},
        {result_code::backend_failed,
         "backend_failed",
         "The backend server failed while it ran the request."},
        {result_code::request_malformed,
         "request_malformed",
         "The HTTP request is malformed or cut off."},
        {result_code::request_too_large,
         "request_too_large",
         "The HTTP request is larger than the limit."},
        {result_code::retry_budget_empty,
         "retry_budget_empty",
         "The retry budget of the service is used up; the request did not "
         "run."},
        {result_code::region_budget_empty,
         "region_budget_empty",
         "The byte budget between regions is used up; the request did not "
         "run."},
        {result_code::not_ready,
         "not_ready",
         "The process has not yet fetched its configuration; the request did "
         "not run."},
        {result_code::attempt_cancelled,
         "attempt_cancelled",
         "The attempt was cancelled before it started."},
        {result_code::zone_out,
         "zone_out",
         "The availability zone is out of service."},
        {result_code::not_leader,
         "not_leader",
         "This control instance is not the leader; the reply names the leader "
         "if known."},
        {result_code::revision_conflict,
         "revision_conflict",
         "Another operator changed the configuration first; the reply names "
         "who."},
        {result_code::no_quorum,
         "no_quorum",
         "Control has no majority; nothing was accepted."},
        {result_code::session_expired,
         "session_expired",
         "The client's session has expired; whether an earlier command was "
         "applied is unknown."},
        {result_code::membership_change_in_progress,
         "membership_change_in_progress",
         "Another change of membership is not finished."},
        {result_code::unknown_member,
         "unknown_member",
         "The control instance is not a member."},
        {result_code::stale_sequence,
         "stale_sequence",
         "The command is older than the last one of its session."},
        {result_code::timed_out,
         "timed_out",
         "The operation did not finish in time; its outcome is unknown."},
        {result_code::job_unknown, "job_unknown", "No job has this id."},
        {result_code::job_never_fits,
         "job_never_fits",
         "The job fits no worker, even an empty one."},
        {result_code::job_cancelled, "job_cancelled", "The job was cancelled."},
        {result_code::job_failed,
         "job_failed",
         "The job failed on several healthy workers and was stopped."},
        {result_code::stale_attempt,
         "stale_attempt",
         "An order or report names an attempt that is not the current one."},
        {result_code::permit_expired,
         "permit_expired",
         "A start order arrived after its start permit had expired."},
        {result_code::worker_quarantined,
         "worker_quarantined",
         "The worker is quarantined because several jobs failed on it."},
        {result_code::quota_exceeded,
         "quota_exceeded",
         "The team's quota is used up."},
        {result_code::worker_unknown,
         "worker_unknown",
         "No worker has this id."},
        {result_code::job_invalid,
         "job_invalid",
         "The job description is malformed or out of range."},
        {result_code::disk_full,
         "disk_full",
         "The disk is full; nothing was accepted."},
        {result_code::sync_failed,
         "sync_failed",
         "Syncing a file failed; nothing was accepted."},
        {result_code::log_damaged,
         "log_damaged",
         "The log is damaged before its tail."},
        {result_code::snapshot_damaged,
         "snapshot_damaged",
         "The snapshot is damaged."},
        {result_code::snapshot_log_mismatch,
         "snapshot_log_mismatch",
         "The snapshot and the log do not join."},
        {result_code::identity_lost,
         "identity_lost",
         "The identity file is missing; the instance may only join as a new "
         "learner."},
        {result_code::io_failed, "io_failed", "A file operation failed."},
        {result_code::version_unknown,
         "version_unknown",
         "The peer speaks an unknown protocol version."},
        {result_code::message_malformed,
         "message_malformed",
         "A message between processes can't be decoded."},
        {result_code::message_too_large,
         "message_too_large",
         "A message between processes is larger than the limit."},
        {result_code::peer_unreachable,
         "peer_unreachable",
         "No connection to the peer."},
        {result_code::unknown_path,
         "unknown_path",
         "The peer does not serve this message path."},
        {result_code::address_in_use,
         "address_in_use",
         "The listening address can't be bound."},
    };
    return table;
}

std::string_view to_string(result_code code)
{
    for (auto const& row : result_code_table())
    {
        if (row.code == code)
        {
            return row.name;
        }
    }
    return "unknown";
}

std::optional<result_code> result_code_from_number(std::uint16_t number)
{
    auto const& table = result_code_table();
    auto const row =
        std::find_if(table.begin(),
                     table.end(),
                     [number](result_code_info const& info) {
                         return static_cast<std::uint16_t>(info.code) == number;
                     });
    return row == table.end() ? std::nullopt
                              : std::optional<result_code>(row->code);
}

} // namespace turmericswitch::core
