#ifndef TURMERICSWITCH_CORE_EVENTS_EVENT_CODE_HPP
#define TURMERICSWITCH_CORE_EVENTS_EVENT_CODE_HPP

#include <array>
#include <cstdint>
#include <string_view>

namespace turmericswitch::core
{

/// Numbers of the events that processes log. A number never changes its
/// meaning; docs/events.md explains each and names its fields.
enum class event_code : std::uint16_t
{
    // Every process
    process_started = 101,
    process_stopping = 102,
    process_stopped = 103,
    start_failed = 104,
    settings_changed = 105,
    settings_rejected = 106,
    lines_dropped = 107,
    control_lost = 108,
    control_regained = 109,
    message_unreadable = 110,
    configuration_received = 111,
    configuration_unusable = 112,

    // Gateways
    call_answered = 201,
    call_rejected = 202,
    configuration_in_force = 203,
    submission_expired = 204,

    // Sidecars
    worker_registered = 301,
    worker_left = 302,
    worker_drain_changed = 303,
    registration_ignored = 304,
    run_started = 305,
    start_unanswered = 306,
    start_dropped = 307,
    run_refused = 308,
    stop_sent = 309,
    pace_unacknowledged = 310,
    pace_sent = 311,
    worker_replaced = 312,
    late_start_executed = 313,
    leave_notice_ignored = 314,
    ends_dropped_unseen = 315,
    run_ended_unseen = 316,
    incarnation_fenced = 317,
    run_row_skipped = 330,
    worker_unconfirmed = 331,

    // Control: workflows
    workflow_accepted = 401,
    run_placed = 402,
    run_ended = 403,
    workflow_cancelled = 404,
    workflow_ended = 405,
    pace_decided = 406,
    run_evicted = 407,
    worker_seen = 408,
    worker_lost = 409,
    worker_set_aside = 410,
    dispatch_summary = 411,
    start_withdrawn = 413,
    suspicion_resolved = 414,
    copy_decided = 415,
    task_isolated = 416,
    task_fits_nowhere = 421,
    run_moved = 422,
    run_preempted = 423,
    job_prospect_changed = 424,
    job_refused = 425,
    refusals_outdated = 426,
    late_end_counted = 427,
    ends_withheld = 428,

    // Control: the group and its state
    role_changed = 451,
    leadership_began = 452,
    leadership_ended = 453,
    leadership_handed_over = 454,
    member_joining = 455,
    member_changed = 456,
    state_recovered = 457,
    snapshot_installed = 458,
    entry_skipped = 459,
    storage_failed = 460,
    configuration_applied = 461,
    zone_evacuation_changed = 462,
    commit_stalled = 463,
    leadership_given_up = 464,
    document_delta_refused = 465,
    peer_address_unknown = 466,
    leader_silent = 467,
    members_without_vote = 468,
    catch_up_stalled = 469,
    storage_recovered = 470,
    workers_relearned = 481,
};

enum class event_severity : std::uint8_t
{
    info,
    warning,
    error,
};

struct event_entry
{
    event_code code;
    std::string_view name;
    event_severity severity = event_severity::info;
};

/// Every event, in ascending order of its number.
constexpr std::array all_events{
    event_entry{event_code::process_started, "process_started"},
    event_entry{event_code::process_stopping, "process_stopping"},
    event_entry{event_code::process_stopped, "process_stopped"},
    event_entry{
        event_code::start_failed, "start_failed", event_severity::error},
    event_entry{event_code::settings_changed, "settings_changed"},
    event_entry{event_code::settings_rejected,
                "settings_rejected",
                event_severity::warning},
    event_entry{
        event_code::lines_dropped, "lines_dropped", event_severity::warning},
    event_entry{
        event_code::control_lost, "control_lost", event_severity::warning},
    event_entry{event_code::control_regained, "control_regained"},
    event_entry{event_code::message_unreadable,
                "message_unreadable",
                event_severity::warning},
    event_entry{event_code::configuration_received, "configuration_received"},
    event_entry{event_code::configuration_unusable,
                "configuration_unusable",
                event_severity::warning},
    event_entry{event_code::call_answered, "call_answered"},
    event_entry{event_code::call_rejected, "call_rejected"},
    event_entry{event_code::configuration_in_force, "configuration_in_force"},
    event_entry{event_code::submission_expired, "submission_expired"},
    event_entry{event_code::worker_registered, "worker_registered"},
    event_entry{event_code::worker_left, "worker_left"},
    event_entry{event_code::worker_drain_changed, "worker_drain_changed"},
    event_entry{event_code::registration_ignored,
                "registration_ignored",
                event_severity::warning},
    event_entry{event_code::run_started, "run_started"},
    event_entry{event_code::start_unanswered,
                "start_unanswered",
                event_severity::warning},
    event_entry{event_code::start_dropped, "start_dropped"},
    event_entry{event_code::run_refused, "run_refused"},
    event_entry{event_code::stop_sent, "stop_sent"},
    event_entry{event_code::pace_unacknowledged,
                "pace_unacknowledged",
                event_severity::warning},
    event_entry{event_code::pace_sent, "pace_sent"},
    event_entry{event_code::worker_replaced, "worker_replaced"},
    event_entry{event_code::late_start_executed,
                "late_start_executed",
                event_severity::warning},
    event_entry{event_code::leave_notice_ignored,
                "leave_notice_ignored",
                event_severity::warning},
    event_entry{event_code::ends_dropped_unseen,
                "ends_dropped_unseen",
                event_severity::warning},
    event_entry{event_code::run_ended_unseen,
                "run_ended_unseen",
                event_severity::warning},
    event_entry{event_code::incarnation_fenced, "incarnation_fenced"},
    event_entry{event_code::run_row_skipped,
                "run_row_skipped",
                event_severity::warning},
    event_entry{event_code::worker_unconfirmed,
                "worker_unconfirmed",
                event_severity::warning},
    event_entry{event_code::workflow_accepted, "workflow_accepted"},
    event_entry{event_code::run_placed, "run_placed"},
    event_entry{event_code::run_ended, "run_ended"},
    event_entry{event_code::workflow_cancelled, "workflow_cancelled"},
    event_entry{event_code::workflow_ended, "workflow_ended"},
    event_entry{event_code::pace_decided, "pace_decided"},
    event_entry{event_code::run_evicted, "run_evicted"},
    event_entry{event_code::worker_seen, "worker_seen"},
    event_entry{
        event_code::worker_lost, "worker_lost", event_severity::warning},
    event_entry{event_code::worker_set_aside,
                "worker_set_aside",
                event_severity::warning},
    event_entry{event_code::dispatch_summary, "dispatch_summary"},
    event_entry{event_code::start_withdrawn, "start_withdrawn"},
    event_entry{event_code::suspicion_resolved, "suspicion_resolved"},
    event_entry{event_code::copy_decided, "copy_decided"},
    event_entry{
        event_code::task_isolated, "task_isolated", event_severity::warning},
    event_entry{event_code::task_fits_nowhere,
                "task_fits_nowhere",
                event_severity::warning},
    event_entry{event_code::run_moved, "run_moved"},
    event_entry{event_code::run_preempted, "run_preempted"},
    event_entry{event_code::job_prospect_changed, "job_prospect_changed"},
    event_entry{event_code::job_refused, "job_refused"},
    event_entry{event_code::refusals_outdated, "refusals_outdated"},
    event_entry{event_code::late_end_counted, "late_end_counted"},
    event_entry{event_code::ends_withheld, "ends_withheld"},
    event_entry{event_code::role_changed, "role_changed"},
    event_entry{event_code::leadership_began, "leadership_began"},
    event_entry{event_code::leadership_ended, "leadership_ended"},
    event_entry{event_code::leadership_handed_over, "leadership_handed_over"},
    event_entry{event_code::member_joining, "member_joining"},
    event_entry{event_code::member_changed, "member_changed"},
    event_entry{event_code::state_recovered, "state_recovered"},
    event_entry{event_code::snapshot_installed, "snapshot_installed"},
    event_entry{
        event_code::entry_skipped, "entry_skipped", event_severity::error},
    event_entry{
        event_code::storage_failed, "storage_failed", event_severity::error},
    event_entry{event_code::configuration_applied, "configuration_applied"},
    event_entry{event_code::zone_evacuation_changed, "zone_evacuation_changed"},
    event_entry{
        event_code::commit_stalled, "commit_stalled", event_severity::warning},
    event_entry{event_code::leadership_given_up,
                "leadership_given_up",
                event_severity::warning},
    event_entry{event_code::document_delta_refused, "document_delta_refused"},
    event_entry{event_code::peer_address_unknown,
                "peer_address_unknown",
                event_severity::warning},
    event_entry{
        event_code::leader_silent, "leader_silent", event_severity::warning},
    event_entry{event_code::members_without_vote, "members_without_vote"},
    event_entry{event_code::catch_up_stalled,
                "catch_up_stalled",
                event_severity::warning},
    event_entry{event_code::storage_recovered, "storage_recovered"},
    event_entry{event_code::workers_relearned, "workers_relearned"},
};

/// @return The entry of the event; every code has one.
constexpr event_entry const& entry_of(event_code code) noexcept
{
    for (auto const& entry : all_events)
    {
        if (entry.code == code)
        {
            return entry;
        }
    }
    return all_events.front();
}

} // namespace turmericswitch::core

#endif
