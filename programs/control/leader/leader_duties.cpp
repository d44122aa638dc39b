#include "leader/leader_duties.hpp"

#include <utility>

namespace turmericswitch::control
{

namespace
{

core::heartbeat_answer refusal(core::heartbeat_request const& request,
                               core::result_code code)
{
    core::heartbeat_answer answer;
    answer.code = code;
    answer.sent_at = request.sent_at;
    return answer;
}

core::watch_answer watch_refusal()
{
    core::watch_answer answer;
    answer.code = core::result_code::not_leader;
    return answer;
}

bool is_empty(core::placement_batch const& batch)
{
    return batch.placements.empty() && batch.evictions.empty() &&
           batch.stops.empty();
}

} // namespace

leader_duties::leader_duties(replica& node,
                             duty_settings settings,
                             placement::planner_options options,
                             decision_hook on_decision)
    : m_node(node),
      m_settings(settings),
      m_on_decision(std::move(on_decision)),
      m_leases(settings.leases),
      m_heartbeats(m_leases),
      m_registry(node.current_term(), settings.announce_lease),
      m_planner_sync(
          node.state(), std::move(options), process::event_loop::now()),
      m_watches(node.state().config(), m_registry)
{
}

void leader_duties::begin(core::time_point now)
{
    m_leases.begin_term(m_node.state().held_tasks(), now);
    m_next_maintenance = now + m_settings.maintenance_interval;
    m_watches.withhold_registry_until(now + m_settings.announce_lease);
    m_node.observe_holds(
        [this](core::held_task const& task, bool is_held)
        {
            if (is_held)
            {
                m_leases.add_placement(task, process::event_loop::now());
                return;
            }
            m_leases.remove(task);
            m_heartbeats.clear_requests(task);
        });
}

void leader_duties::end()
{
    m_ended = true;
    m_node.observe_holds({});
    m_watches.close();
    for (auto const& [request, done] : std::exchange(m_unconfirmed, {}))
    {
        done(refusal(request, core::result_code::not_leader));
    }
    for (auto const& each : std::exchange(m_unconfirmed_watches, {}))
    {
        each.done(watch_refusal());
    }
}

void leader_duties::applied(core::command_body const& command,
                            core::command_reply const& reply)
{
    m_planner_sync.applied(process::event_loop::now(), command, reply);
}

void leader_duties::heartbeat(core::heartbeat_request request,
                              heartbeat_hook done)
{
    auto commands = m_heartbeats.prepare(request, m_node.state());
    if (commands.empty())
    {
        // Waits for the read-index round of the next tick: one round per
        // heartbeat would send messages to every member at the heartbeat rate.
        m_unconfirmed.push_back({std::move(request), std::move(done)});
        return;
    }
    // A command that is proposed after the heartbeat arrived and committed in
    // this leader's term confirms leadership as a read-index round does.
    auto last = std::move(commands.back());
    commands.pop_back();
    for (auto& command : commands)
    {
        m_node.propose(
            std::move(command), {}, {}, [](core::command_reply const&) {});
    }
    m_node.propose(std::move(last),
                   {},
                   {},
                   [self = shared_from_this(),
                    request = std::move(request),
                    done = std::move(done)](core::command_reply const& reply)
                   {
                       bool const is_committed =
                           reply.code != core::result_code::not_leader &&
                           reply.code != core::result_code::no_quorum &&
                           reply.code != core::result_code::outcome_unknown;
                       if (self->m_ended || !is_committed)
                       {
                           done(
                               refusal(request, core::result_code::not_leader));
                           return;
                       }
                       self->answer_heartbeat(request, done);
                   });
}

void leader_duties::confirm_heartbeats()
{
    if (m_unconfirmed.empty())
    {
        return;
    }
    m_node.read(
        [self = shared_from_this(),
         waiting = std::exchange(m_unconfirmed, {})](core::result_code code)
        {
            bool const is_confirmed =
                !self->m_ended && code == core::result_code::ok;
            for (auto const& [request, done] : waiting)
            {
                if (is_confirmed)
                {
                    self->answer_heartbeat(request, done);
                }
                else
                {
                    done(refusal(request, core::result_code::not_leader));
                }
            }
        });
}

void leader_duties::answer_heartbeat(core::heartbeat_request const& request,
                                     heartbeat_hook const& done)
{
    auto const now = process::event_loop::now();
    m_planner_sync.heartbeat_received(
        now, request.worker.worker, request.usage);
    done(m_heartbeats.answer(request, now, m_node.state()));
}

core::announce_answer
leader_duties::announce(core::time_point now,
                        core::announce_request const& request)
{
    auto const& config = m_node.state().config();
    m_watches.record_report(
        now,
        core::client_id("sidecar " + request.entry.backend.value()),
        request.in_force);
    return m_registry.announce(request,
                               config.is_leaving(request.entry.backend),
                               config.current(),
                               now);
}

void leader_duties::watch(core::time_point now,
                          core::watch_request request,
                          watch_hub::answer_hook done)
{
    m_watches.watch(
        now,
        std::move(request),
        [weak = weak_from_this(),
         done = std::move(done)](core::watch_answer answer)
        {
            auto const self = weak.lock();
            if (!self || self->m_ended || answer.code != core::result_code::ok)
            {
                done(watch_refusal());
                return;
            }
            self->m_unconfirmed_watches.push_back({std::move(answer), done});
        });
}

void leader_duties::confirm_watches()
{
    if (m_unconfirmed_watches.empty())
    {
        return;
    }
    m_node.read(
        [self = shared_from_this(),
         waiting =
             std::exchange(m_unconfirmed_watches, {})](core::result_code code)
        {
            bool const is_confirmed =
                !self->m_ended && code == core::result_code::ok;
            for (auto const& each : waiting)
            {
                each.done(is_confirmed ? each.answer : watch_refusal());
            }
        });
}

void leader_duties::tick(core::time_point now, core::wall_time wall)
{
    m_registry.remove_expired(now);
    m_watches.tick(now);
    confirm_heartbeats();
    confirm_watches();
    expire_leases(now);
    if (now >= m_next_placement && !m_planner_sync.has_pending_batch())
    {
        m_next_placement = now + m_settings.placement_interval;
        run_placement(now, wall);
    }
    if (now >= m_next_maintenance)
    {
        m_next_maintenance = now + m_settings.maintenance_interval;
        run_maintenance(now);
    }
}

void leader_duties::expire_leases(core::time_point now)
{
    if (m_expiry_pending)
    {
        return;
    }
    auto tasks = m_leases.expire(now);
    if (tasks.empty())
    {
        return;
    }
    for (auto const& [job, attempt] : tasks)
    {
        core::decision_record record;
        record.part = "placement";
        record.subject = "job " + std::to_string(job.value());
        record.action = "expire";
        record.target = "attempt " + std::to_string(attempt.value());
        record.reasons = {"its lease ended without renewal"};
        m_on_decision(record);
    }
    m_expiry_pending = true;
    m_node.propose(core::expire_leases{std::move(tasks)},
                   {},
                   {},
                   [self = shared_from_this()](core::command_reply const&)
                   { self->m_expiry_pending = false; });
}

void leader_duties::run_placement(core::time_point now, core::wall_time wall)
{
    auto decisions = m_planner_sync.tick(now, wall);
    for (auto const& record : decisions.records)
    {
        m_on_decision(record);
    }
    for (auto const& throttle : decisions.throttles)
    {
        m_heartbeats.set_throttle({throttle.order.job, throttle.order.attempt},
                                  throttle.order.cpu_permille);
    }
    if (!is_empty(decisions.batch))
    {
        propose_batch(std::move(decisions.batch));
    }
}

void leader_duties::propose_batch(core::placement_batch batch)
{
    auto copy = batch;
    m_node.propose(
        std::move(batch),
        {},
        {},
        [self = shared_from_this(),
         sent = std::move(copy)](core::command_reply const& reply)
        {
            // For a committed batch `applied` has already updated the planner.
            if (reply.code != core::result_code::ok && !self->m_ended)
            {
                self->m_planner_sync.batch_rejected(process::event_loop::now(),
                                                    sent);
            }
        });
}

void leader_duties::run_maintenance(core::time_point now)
{
    auto const ignore = [](core::command_reply const&) {};
    m_node.propose(core::expire_records{}, {}, {}, ignore);
    for (auto const& worker : m_planner_sync.workers_to_retire(now))
    {
        m_node.propose(core::retire_worker{worker}, {}, {}, ignore);
    }
    promote_learners();
}

void leader_duties::promote_learners()
{
    // A copy, because an accepted change modifies the membership at once.
    auto const members = m_node.membership().members;
    for (auto const& member : members)
    {
        if (member.learner)
        {
            // Refused until the learner has caught up and while another change
            // is in progress; the next maintenance tries again.
            m_node.change_membership(consensus::membership_change_kind::promote,
                                     member,
                                     [](core::command_reply const&) {});
        }
    }
}

core::time_point
leader_duties::last_permit_expiry(core::zone_id const& zone) const
{
    return m_leases.last_permit_expiry(zone);
}

std::map<core::client_id, process_report> const&
leader_duties::processes() const
{
    return m_watches.processes();
}

placement::planner_counts leader_duties::planner_counts() const
{
    return m_planner_sync.counts();
}

std::size_t leader_duties::backends() const
{
    return m_registry.size();
}

} // namespace turmericswitch::control
