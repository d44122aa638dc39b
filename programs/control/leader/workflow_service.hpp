#ifndef TURMERICSWITCH_CONTROL_LEADER_WORKFLOW_SERVICE_HPP
#define TURMERICSWITCH_CONTROL_LEADER_WORKFLOW_SERVICE_HPP

#include "core/events/event.hpp"
#include "leader/fleet_progress.hpp"
#include "leader/submission_handler.hpp"
#include "node/replica.hpp"
#include "process/loop/event_loop.hpp"
#include "telemetry/metrics/metrics_registry.hpp"
#include "workflow/dispatch/dispatcher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace turmericswitch::control
{

/// Runs workflows on the leader: connects the dispatcher to the replicated log
/// and to the sidecars, which send reports and poll for orders.
///
/// Use it only on the event loop's thread.
class workflow_service : public std::enable_shared_from_this<workflow_service>
{
public:
    using grant_hook = std::function<void(core::runtime_grant)>;
    using orders_hook = std::function<void(core::runtime_orders)>;
    using reply_hook = submission_handler::reply_hook;
    using query_hook = std::function<void(core::workflow_answer)>;

    /// The references must outlive the object.
    workflow_service(process::event_loop& loop,
                     replica& node,
                     workflow::dispatch_options options,
                     core::event_hook on_event,
                     telemetry::metrics_registry& metrics);

    /// Answers all waiting reports, polls and queries with `not_leader`.
    void end();

    void tick(core::time_point now);

    /// Call after the replica applied a command.
    void applied(core::command_body const& command,
                 core::command_reply const& reply);

    /// See `submission_handler`.
    void submit(forwarded_submission submission, reply_hook done);
    void cancel(core::command_envelope envelope, reply_hook done);

    /// Handles a sidecar's report. The answer follows when the ends of runs in
    /// the report are committed and leadership was confirmed after the report
    /// arrived.
    void report(core::runtime_report report, grant_hook done);

    /// Answers as soon as there are orders for the worker, or without any
    /// after the request's `max_wait`.
    void poll_orders(core::orders_request const& request, orders_hook done);

    /// Answers after a confirmed read, so that the answer is not stale.
    void query(core::workflow_query query, query_hook done);

private:
    struct waiting_report
    {
        core::worker_id worker;
        core::incarnation life;
        grant_hook done;
    };

    struct waiting_poll
    {
        core::orders_request request;
        core::time_point until;
        orders_hook done;
    };

    struct waiting_query
    {
        core::workflow_query query;
        query_hook done;
    };

    /// Plans and delivers orders after the tasks that already wait for the
    /// loop, so that one plan covers all events that have arrived.
    void schedule_plan();
    void plan();
    /// @param begun When the command of a plan was proposed.
    void record_commit_time(core::time_point begun);
    void on_committed(core::workflow_progress const& command,
                      std::vector<waiting_report> const& confirmed);
    void answer_committed_reports(std::vector<waiting_report> reports);
    void confirm_reports();
    void confirm_queries();
    /// Answers the polls of the workers for which orders are due.
    core::runtime_orders take_orders(core::time_point now,
                                     core::orders_request const& request);
    void deliver_orders();
    void end_expired_polls();
    void log_accepted(core::submit_workflow const& command) const;
    void log_cancelled(core::cancel_workflow const& command) const;
    void record_ended(core::workflow_progress const& command);
    void publish_summary(core::time_point now);
    void publish_fleet_progress(core::time_point now);
    core::workflow_answer answer_to(core::workflow_query const& query) const;

    process::event_loop& m_loop;
    replica& m_node;
    core::event_hook m_on_event;
    telemetry::metrics_registry& m_metrics;
    workflow::dispatcher m_dispatcher;
    std::shared_ptr<submission_handler> m_submissions;
    fleet_progress m_fleet_progress;
    core::time_point m_next_plan;
    core::time_point m_next_summary;
    bool m_is_planning = false;
    bool m_plan_scheduled = false;
    bool m_ended = false;
    std::vector<waiting_report> m_reports;
    std::map<core::worker_id, waiting_poll> m_polls;
    std::vector<waiting_query> m_queries;
    telemetry::latency_metric& m_commit_time;
    telemetry::latency_metric& m_workflow_time;
    telemetry::counter& m_placements;
    telemetry::counter& m_copies;
    telemetry::counter& m_ends;
    telemetry::gauge& m_waiting;
    telemetry::gauge& m_held;
    telemetry::gauge& m_usable;
    telemetry::gauge& m_wide_percent;
    telemetry::gauge& m_oversized;
    std::map<workflow::placement_obstacle, telemetry::gauge*> m_held_back;
};

} // namespace turmericswitch::control

#endif
