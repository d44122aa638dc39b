#ifndef TURMERICSWITCH_CORE_RESULTS_RESULT_CODE_HPP
#define TURMERICSWITCH_CORE_RESULTS_RESULT_CODE_HPP

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace turmericswitch::core
{

/// Numbered results shown to callers and operators. docs/result-codes.md has
/// the same table; a test compares the two. Numbers are never reused.
enum class result_code : std::uint16_t
{
    ok = 0,

    // Settings and command line
    settings_syntax = 101,
    settings_unknown_key = 102,
    settings_bad_value = 103,
    settings_missing_key = 104,
    usage = 105,

    // Operators' file and names
    rule_syntax = 201,
    rule_missing_requester = 202,
    rule_unknown_kind = 203,
    rule_bad_value = 204,
    rule_duplicate = 205,
    rule_conflict = 206,
    name_ambiguous = 207,
    name_unknown = 208,
    rule_not_utf8 = 209,
    rule_too_large = 210,
    document_invalid = 211,
    document_conflict = 212,
    document_base_mismatch = 213,

    // Requests
    not_run = 301,
    outcome_unknown = 302,
    duplicate_request = 303,
    no_route = 304,
    no_capacity = 305,
    deadline_exceeded = 306,
    draining = 307,
    wrong_incarnation = 308,
    backend_failed = 309,
    request_malformed = 310,
    request_too_large = 311,
    retry_budget_empty = 312,
    region_budget_empty = 313,
    not_ready = 314,
    attempt_cancelled = 315,
    zone_out = 316,

    // Control and configuration
    not_leader = 401,
    revision_conflict = 402,
    no_quorum = 403,
    session_expired = 404,
    membership_change_in_progress = 405,
    unknown_member = 406,
    stale_sequence = 407,
    timed_out = 408,
    configuration_unavailable = 409,

    // Jobs and workers
    job_unknown = 501,
    job_never_fits = 502,
    job_cancelled = 503,
    job_failed = 504,
    stale_attempt = 505,
    permit_expired = 506,
    worker_quarantined = 507,
    quota_exceeded = 508,
    worker_unknown = 509,
    job_invalid = 510,
    queue_unknown = 511,
    overloaded = 512,
    not_admitted = 513,

    // Disk
    disk_full = 601,
    sync_failed = 602,
    log_damaged = 603,
    snapshot_damaged = 604,
    snapshot_log_mismatch = 605,
    identity_lost = 606,
    io_failed = 607,

    // Protocol between processes
    version_unknown = 701,
    message_malformed = 702,
    message_too_large = 703,
    peer_unreachable = 704,
    unknown_path = 705,
    address_in_use = 706,
};

/// One row of the table of result codes.
struct result_code_info
{
    result_code code;
    std::string_view name;
    std::string_view meaning;
};

/// @return The whole table, in ascending order of number.
std::vector<result_code_info> const& result_code_table();

/// @return The name of the code, or "unknown".
std::string_view to_string(result_code code);

/// @return The code with this number, or nothing.
std::optional<result_code> result_code_from_number(std::uint16_t number);

} // namespace turmericswitch::core

#endif
