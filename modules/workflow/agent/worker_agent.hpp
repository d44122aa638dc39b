#ifndef TURMERICSWITCH_WORKFLOW_AGENT_WORKER_AGENT_HPP
#define TURMERICSWITCH_WORKFLOW_AGENT_WORKER_AGENT_HPP

#include "core/events/event.hpp"
#include "core/messages/workflow.hpp"
#include "workflow/agent/begun_runs.hpp"
#include "workflow/agent/crash_witness.hpp"
#include "workflow/agent/end_numbers.hpp"
#include "workflow/agent/start_calls.hpp"
#include "workflow/agent/worker_runtime.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmericswitch::workflow
{

/// Calls to the leader; the callbacks get `nullopt` if no leader answered.
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
    /// Incarnation of the sidecar.
    core::incarnation life;
    /// Longest time between two sync calls to the worker.
    core::duration sync_interval = std::chrono::seconds(1);
};

struct agent_hooks
{
    worker_runtime runtime;
    leader_calls leader;
    /// Runs a function on the agent's thread after a delay.
    std::function<void(core::duration, std::function<void()>)> after;
    /// Receives events for the log.
    core::event_hook on_event;
};

/// The core of the sidecar beside a worker.
///
/// It forwards the leader's orders and lease extensions to the worker, and
/// reports the worker's lists of runs to the leader. It makes no placement
/// decisions.
///
/// It observes which incarnations of the worker end without notice, and reports
/// each until a grant acknowledges it. So a crash is known to the leader of
/// that time, also if there was none when it happened.
///
/// Its first sync call to an incarnation has a higher fencing token than all
/// calls to earlier ones, which may still be under way. So the answer lists
/// whatever the incarnation has executed of these, and nothing follows later.
///
/// Leases and acknowledgements go only to the incarnation that they are for: a
/// sync call has them if that incarnation has answered the call before, and the
/// calls that wait for an end, which are open when a worker ends, acknowledge
/// nothing.
///
/// It reports a run as refused only when the run is certain not to execute and
/// not to have ended: a list of ends that may be cut proves nothing about a run
/// that is missing in it, and one that is known to have begun and is missing
/// has ended unseen. The refusal of a start proves something about that call
/// only, so it counts for the run if no other call can have begun the run:
/// the worker has rejected the calls of earlier sidecars since its first list,
/// which lacks the run, and all calls of this sidecar were refused. Otherwise a
/// list shows whether the run has begun; if not, a stop makes the worker keep a
/// tombstone that rejects the start if it arrives later.
///
/// A restart erases all of these proofs. So the reports name each run with a
/// start call that has no answer for as long as the worker may execute it, also
/// after the run has ended.
///
/// It sends no start while the runs that the leader counts on the worker do not
/// fit the capacity that the worker has reported last: the leader may not know
/// that capacity yet, or the order may be old.
///
/// Not thread-safe: all calls and callbacks must be on one thread.
class worker_agent
{
public:
    worker_agent(agent_options options, agent_hooks hooks);

    /// Handles a registration of the worker.
    ///
    /// One under another id may come from another writer, so it is believed
    /// only when the worker answers a sync call under that id.
    ///
    /// @param sequence Increases with each registration of an incarnation; 0 if
    ///        it is unknown.
    /// @return False if it is from an earlier incarnation than the known one,
    ///         was overtaken by a later one, names no incarnation while the
    ///         known one does, is not believed yet, or the agent was stopped.
    bool registered(core::worker_profile profile, std::uint64_t sequence = 0);

    /// Handles the worker's notice that it shuts down. It is ignored unless the
    /// worker drains.
    void unregistered(core::worker_id const& worker);

    /// Reports to a new leader with a list of runs that the worker makes after
    /// this call. Calls to the earlier leader that have no answer yet are given
    /// up.
    ///
    /// @param delay Time before the report.
    void leader_changed(core::duration delay);

    /// Ends all call loops, for a planned shutdown.
    void stop();

    /// @return Number of calls to the worker that wait for an answer.
    std::size_t open_calls() const noexcept;

    /// @return Null until the worker has registered.
    core::worker_profile const* profile() const noexcept;

private:
    /// Pause after a failed call, so that retries to a dead peer cost little.
    static constexpr core::duration retry_pause =
        std::chrono::milliseconds(200);

    /// Pause between sync calls while the worker lists ended runs that the
    /// leader has not acknowledged, or that an acknowledgement has not reached.
    /// The worker answers immediately as long as its list has such entries, so
    /// without the pause the calls would spin.
    static constexpr core::duration unacknowledged_ends_pause =
        std::chrono::milliseconds(50);

    struct pending_start
    {
        /// Its `lease_until` stays as of the order's receipt: the leader may
        /// have given up the run when a later lease is granted.
        core::run_start start;
        std::string payload;
        int tries = 0;
        /// True if the first try waits for the first list of runs, or the next
        /// one until the leader repeats the order.
        bool is_suspended = false;
    };

    /// A registration that the worker has not confirmed yet.
    struct unconfirmed_registration
    {
        core::worker_profile profile;
        std::uint64_t sequence = 0;
    };

    /// Asks the worker at the runtime's address whether it has this id.
    void confirm_registration(core::worker_profile profile,
                              std::uint64_t sequence);
    void handle_confirmation(core::worker_id const& worker,
                             std::optional<sync_result> const& answer);
    void log_unconfirmed(core::worker_profile const& profile,
                         std::optional<sync_result> const& answer);
    /// @return True if the registration is to be logged: it is the first of its
    ///         id and incarnation that is not believed.
    bool is_first_unconfirmed(core::worker_profile const& profile);
    /// @return True if the registration is of an incarnation that began before
    ///         the current one.
    bool is_earlier(core::worker_profile const& profile) const;
    void begin_incarnation(core::worker_profile profile);
    /// Handles the first answer of an incarnation that has not registered yet.
    ///
    /// @param acknowledged Acknowledged ends in the call that it answered.
    void handle_successor(core::incarnation life, std::uint64_t acknowledged);
    /// Logs that an incarnation which follows another one rejects calls to that
    /// one from now on, and the runs whose start was meant for that one.
    void log_late_starts();
    /// Logs each reason for which rows were skipped once per incarnation.
    void log_skipped_rows(std::vector<skipped_row> const& rows);
    /// Logs ends that the worker has dropped before it listed them.
    void check_end_numbers();
    /// Ends the starts of runs that the worker lists.
    void close_executed_starts();
    void close_begun_start(core::task_run const& run);
    /// Makes the starts that have waited for the first list.
    void call_waiting_starts();
    /// Stops waiting for single calls of which the start is not valid any more,
    /// so that the worker's capacity is not kept for them. Only its next
    /// incarnation could still execute them.
    void give_up_expired_starts();
    /// Stops runs with an unanswered start that the worker does not list.
    void stop_unlisted_starts();
    void sync_worker(core::duration wait);
    /// Asks for a list that is made after this call. Gives up a call that waits
    /// for an end.
    void request_list();
    /// @return True if a decision waits for a list that is made after the last
    ///         one was requested.
    bool needs_list() const;
    /// Makes the first sync call to an incarnation.
    void begin_first_sync();
    /// Repeats the first sync call to an incarnation soon if it has no answer:
    /// until the worker has executed one, it executes late calls of earlier
    /// incarnations.
    ///
    /// @param repeats Number of calls that may follow.
    void repeat_first_sync(int repeats);
    /// Makes the first sync call to an incarnation again after a refusal or no
    /// answer.
    void retry_first_sync();
    /// Adds the lease and the acknowledgement, if the worker's incarnation is
    /// certain.
    void add_effects(sync_call& call) const;
    /// @return True if the worker lists ends that are acknowledged.
    bool lists_acknowledged_ends() const;
    /// The answer to one of a series of sync calls.
    struct sync_answer
    {
        std::uint64_t epoch = 0;
        /// Of the call; the answer to one that was given up is dropped.
        std::uint64_t number = 0;
        /// Acknowledged ends in the call.
        std::uint64_t acknowledged = 0;
        /// For how long the next call may wait if this one only acknowledged
        /// ends and its answer has no news; zero if it must be reported.
        core::duration wait_after{};
        std::optional<sync_result> result;
    };

    void handle_sync_answer(sync_answer answer);
    void handle_silence();
    void handle_lists(sync_result result);
    /// @return True if the worker lists ends, and the leader has committed all
    ///         of them. They stay listed until the leader acknowledges them.
    bool lists_only_committed_ends() const;
    /// @return True if the last report is so old that the worker's lease needs
    ///         another one.
    bool is_regular_report_due() const;
    /// @return True if the leader must learn of the last lists.
    bool has_news(core::worker_runs const& before) const;
    void schedule_sync(core::duration delay, core::duration wait);
    void find_unseen_ends(bool is_whole);
    /// Notes since when the lists have rows that can't be read.
    void check_unread_rows(std::vector<skipped_row> const& rows);
    /// @return True if an unreadable row may be of a run that is missing. A row
    ///         of another writer may stay for good.
    bool may_have_unread_run() const;
    /// Handles runs that the worker will not start any more and doesn't list.
    void close_unlisted_stopped_runs();
    void mark_ended_unseen(core::task_run const& run);
    void send_report();
    /// Lets the next report replace the one in progress, whose grant is
    /// dropped.
    void give_up_report();
    /// Sends another report, with a current reading of the worker's clock.
    void report_again();
    void report_to_new_leader();
    /// @param number Of the report; the grant of one that was given up is
    ///        dropped.
    void handle_grant(std::uint64_t epoch,
                      std::uint64_t number,
                      std::optional<core::runtime_grant> grant);
    void apply_grant(core::runtime_grant const& grant);
    bool has_unacknowledged_ends() const;
    void poll_orders();
    /// @param poll Number of the poll that the orders answer.
    void execute_orders(core::runtime_orders const& orders, std::uint64_t poll);
    void begin_start(core::run_start const& start, std::string const& payload);
    /// @return True if a start of the run would be without effect: it is being
    ///         stopped, its end or its refusal is being reported, or it runs.
    bool needs_no_start(core::task_run const& run) const;
    bool is_listed_as_ended(core::task_run const& run) const;
    /// Makes the call of an open start, or drops the start if the worker has no
    /// capacity for it.
    void try_start(core::task_run const& run);
    void call_start(core::task_run const& run);
    /// @return True if the reservations in the last orders fit the capacity in
    ///         the worker's last registration.
    bool has_capacity() const;
    /// Makes certain that a start for which the worker has no capacity does not
    /// run, unless it runs already.
    void drop_start(core::task_run const& run);
    void handle_start_outcome(core::task_run const& run, start_outcome outcome);
    /// Notes whether a start call may still be executed, by this incarnation or
    /// a later one.
    void resolve_start_call(core::task_run const& run,
                            start_calls::call_number call,
                            start_outcome outcome);
    /// Stops waiting for the effect of a single call that can't be executed any
    /// more.
    void give_up_start(core::task_run const& run);
    /// Stops the run unless a list that is made after this call has it.
    void decide_by_next_list(core::task_run const& run);
    /// Lets the leader know that fewer starts may still be executed: tasks and
    /// acknowledgements may wait for that.
    void report_resolved_starts();
    /// Handles a refusal, or a start that was given up without an answer.
    void handle_failed_start(core::task_run const& run, int tries);
    /// @return True if the refusal of one call proves that the run has not
    ///         begun and will not: no other call can begin it.
    bool is_refusal_certain(core::task_run const& run) const;
    void emit_run_started(core::task_run const& run,
                          int tries,
                          char const* source) const;
    void begin_stop(core::task_run const& run);
    void call_stop(core::task_run const& run);
    void call_pace(core::run_pace const& pace);
    /// @param more Fields of the log line after `why` and what the agent knows
    ///        of the run.
    void mark_refused(core::task_run const& run,
                      char const* why,
                      std::vector<core::event_field> more = {});
    bool is_current(std::uint64_t epoch) const noexcept;
    /// @param more Fields after those that identify the run.
    void emit_run_event(core::event_code code,
                        core::task_run const& run,
                        std::vector<core::event_field> more = {}) const;
    void set_leader_reached(bool is_reached);

    agent_options m_options;
    agent_hooks m_hooks;
    /// Whether a leader answered the last report.
    bool m_leader_reached = true;
    bool m_stopped = false;
    /// Incremented for each incarnation of the worker; answers to calls of an
    /// earlier epoch are dropped.
    std::uint64_t m_epoch = 0;
    /// Its incarnation has a higher number than all earlier ones, also if the
    /// worker's wall clock was set back in between.
    std::optional<core::worker_profile> m_profile;
    /// Number of the current incarnation as the worker states it.
    core::incarnation m_stated_life;
    /// The incarnation that answered last, if it has not registered yet.
    std::optional<core::incarnation> m_successor;
    /// Registrations under other ids, each with a sync call in progress.
    std::map<core::worker_id, unconfirmed_registration> m_unconfirmed;
    /// Registrations that were logged as not confirmed.
    std::set<core::worker_incarnation> m_logged_unconfirmed;
    /// True if the agent has seen an earlier incarnation and has no lists of
    /// the current one yet.
    bool m_has_late_starts = false;
    /// Highest sequence number of the incarnation's registrations.
    std::uint64_t m_sequence = 0;
    bool m_left = false;

    std::uint64_t m_fencing_token = 0;
    core::duration m_lease_until{};
    std::uint64_t m_acknowledged_ends = 0;
    /// Ends up to this number are committed. Those above the acknowledged
    /// number must stay on the worker's list for now.
    std::uint64_t m_committed_ends = 0;
    /// The worker's clock in the last report.
    core::duration m_reported_clock{};
    core::duration m_worker_clock{};
    std::optional<core::worker_runs> m_runs;
    /// True if the last sync call was answered by this incarnation.
    bool m_is_confirmed = false;
    /// True if the worker still lists ends that the last sync call was to
    /// acknowledge.
    bool m_must_repeat_acknowledgement = false;
    /// True if this agent has known the worker since the incarnation's start.
    bool m_is_known_from_start = false;
    /// True once a list had all runs that other sidecars, or calls to earlier
    /// incarnations, have begun on this one. The worker rejects further calls
    /// of these by their fencing tokens.
    bool m_has_whole_list = false;
    end_numbers m_end_numbers;
    /// Highest number up to which the last report has each end.
    std::uint64_t m_reported_ends = 0;
    begun_runs m_begun_runs;
    /// Ended runs of which the worker has dropped the ends before it listed
    /// them, until the leader acknowledges them.
    std::set<core::task_run> m_unseen_ends;
    /// The worker's clock in the first of the lists in a row that have rows
    /// that can't be read; nothing if the last list has none.
    std::optional<core::duration> m_unread_rows_since;
    /// True if the worker's last list of ended runs has a row that can't be
    /// read, and so is not acknowledged.
    bool m_has_skipped_ends = false;
    /// Lists and reasons of the skipped rows that were logged.
    std::set<std::pair<bool, std::string>> m_logged_rows;
    std::set<core::task_run> m_refused;
    /// Refused runs that the leader has acknowledged, with the number of the
    /// last poll whose answer may have an order from before.
    std::map<core::task_run, std::uint64_t> m_acknowledged_refusals;
    crash_witness m_witness;

    std::uint64_t m_syncs_begun = 0;
    /// Number of sync calls to earlier incarnations.
    std::uint64_t m_syncs_before = 0;
    /// Pause before the next retry of the first sync call.
    core::duration m_first_sync_pause{};
    /// Number of the sync call that is in progress or was answered last.
    std::uint64_t m_current_sync = 0;
    /// Number of the oldest sync call that the one in progress repeats.
    std::uint64_t m_oldest_sync = 0;
    bool m_syncing = false;
    /// True if the sync call in progress waits for an end.
    bool m_is_sync_waiting = false;
    /// True after a sync call without an answer of this incarnation.
    bool m_silent = false;
    std::uint64_t m_reports_begun = 0;
    bool m_reporting = false;
    bool m_report_again = false;
    /// True while the leader has not answered a report of a changed profile or
    /// of a worker that became silent.
    bool m_report_due = false;
    /// True if the report that is in progress has such a change.
    bool m_reporting_due = false;
    std::uint64_t m_polls_begun = 0;
    bool m_polling = false;
    std::uint64_t m_received_batch = 0;
    std::size_t m_open_calls = 0;

    /// Reservations in the last orders. All that runs on the worker was placed
    /// when these were made, so they also bound starts of earlier orders.
    core::resources m_reserved;

    std::map<core::task_run, pending_start> m_starts;
    /// Calls to all incarnations under the worker's id.
    start_calls m_start_calls;
    /// True once this sidecar runs for so long that no call of an earlier one
    /// can still be executed.
    bool m_knows_all_starts = false;
    /// Runs with a start that had no answer. The worker may still execute it
    /// until it has confirmed a stop.
    std::set<core::task_run> m_unanswered_starts;
    /// Runs whose single start call has had no answer, with the time on the
    /// worker's clock until which the start is valid. It is not called again; a
    /// list may show that it was executed late.
    std::map<core::task_run, core::duration> m_awaited_starts;
    /// Runs that may have begun by an unanswered start, with the number of the
    /// first sync call whose answer decides whether they are stopped.
    std::map<core::task_run, std::uint64_t> m_undecided_starts;
    /// Runs for which a stop was sent to the incarnation, until the worker
    /// lists the end or the run is reported as refused.
    std::set<core::task_run> m_sent_stops;
    /// Tries of each stop that is in progress.
    std::map<core::task_run, int> m_stops;
    /// Stopped runs, with the number of the first sync call whose answer shows
    /// the effect of the stop.
    std::map<core::task_run, std::uint64_t> m_stopped_runs;
};

} // namespace turmericswitch::workflow

#endif
