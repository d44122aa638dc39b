#include "node/control_node.hpp"

#include <chrono>
#include <thread>

namespace turmericswitch::control
{

namespace
{

/// Five ticks per consensus heartbeat and per placement, whose default
/// intervals are 100 ms.
constexpr core::duration tick_interval = std::chrono::milliseconds(20);
constexpr std::size_t max_kept_decisions = 20'000;

double seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}
/// A successor is usually elected within a few round trips, well before this.
constexpr core::duration leadership_transfer_wait =
    std::chrono::milliseconds(300);

} // namespace

control_node::control_node(transport::io_pool& io,
                           replica_parts parts,
                           duty_settings duties,
                           workflow::dispatch_options dispatch)
    : m_decisions(max_kept_decisions),
      m_commands(m_metrics.counter("turmericswitch_control_commands_total",
                                   "Commands applied to the state.")),
      m_leaderships(
          m_metrics.counter("turmericswitch_control_leaderships_total",
                            "Leaderships begun by this instance.")),
      m_storage_failures(
          m_metrics.counter("turmericswitch_control_storage_failures_total",
                            "Times that a write or sync failed.")),
      m_duty_settings(duties),
      m_dispatch(dispatch),
      m_io(io),
      m_seed(parts.random_seed),
      m_contacts(parts.contacts),
      m_last_recovered_index(last_index_of(parts)),
      m_links(
          io,
          parts.address,
          parts.random_seed,
          [this](consensus::delivery_id id, bool answered)
          {
              m_loop.post([this, id, answered]
                          { m_replica.end_delivery(id, answered); });
          },
          [this](core::event const& what) { m_log.write(what); }),
      m_loop(tick_interval),
      m_replica(m_loop, std::move(parts), make_hooks())
{
    add_metrics();
    on_group_changed();
}

core::log_index control_node::last_index_of(replica_parts const& parts)
{
    auto const& [hard, snapshot, data, entries] = parts.recovered;
    return entries.empty() ? snapshot.last_index : entries.back().index;
}

control_node::~control_node()
{
    m_loop.stop();
    // The calls that end now still post to the loop.
    m_links.close();
    if (m_duties)
    {
        m_duties->end();
    }
    end_workflow_service();
}

void control_node::end_workflow_service()
{
    if (auto const ended = std::exchange(m_workflows, nullptr))
    {
        ended->end();
    }
}

replica_hooks control_node::make_hooks()
{
    replica_hooks hooks;
    hooks.transmit = [this](consensus::send const& message)
    { m_links.send(message); };
    hooks.leadership_began = [this]
    {
        m_leaderships.add();
        m_leads = true;
        m_duties = std::make_shared<leader_duties>(
            m_replica,
            m_duty_settings,
            placement::planner_options{},
            [this](core::decision_record const& record)
            { m_decisions.record(record); });
        m_duties->begin(process::event_loop::now());
        m_workflows = std::make_shared<workflow_service>(
            m_loop,
            m_replica,
            m_dispatch,
            [this](core::event const& what) { m_log.write(what); },
            m_metrics);
        // Last: the processes then report to the services made above.
        m_leader_watches.leadership_began(m_replica.current_term());
    };
    hooks.leadership_ended = [this]
    {
        m_leads = false;
        m_leader_watches.leadership_ended();
        if (auto const ended = std::exchange(m_duties, nullptr))
        {
            ended->end();
        }
        end_workflow_service();
    };
    hooks.applied = [this](core::command_body const& command,
                           core::command_reply const& reply)
    {
        m_commands.add();
        log_operator_command(command, reply);
        if (m_duties)
        {
            m_duties->applied(command, reply);
        }
        if (m_workflows)
        {
            m_workflows->applied(command, reply);
        }
    };
    hooks.group_changed = [this] { on_group_changed(); };
    hooks.storage_failed = [this](std::string const& why)
    {
        m_storage_failed = true;
        m_storage_failures.add();
        m_log.write(
            {core::event_code::storage_failed, {core::text_field("why", why)}});
    };
    hooks.storage_recovered = [this](storage_recovery const& recovery)
    {
        m_storage_failed = false;
        m_last_recovered_index =
            std::max(m_last_recovered_index, recovery.applied_before);
        m_log.write(
            {core::event_code::storage_recovered,
             {core::time_field("failed_ms", recovery.failed_for),
              core::number_field("attempts", recovery.attempts),
              core::number_field("applied_before",
                                 recovery.applied_before.value()),
              core::number_field("last_index", recovery.last_index.value())}});
    };
    hooks.on_event = [this](core::event const& what) { m_log.write(what); };
    return hooks;
}

void control_node::log_operator_command(core::command_body const& command,
                                        core::command_reply const& reply)
{
    if (m_replica.applied_index() <= m_last_recovered_index)
    {
        return;
    }
    auto const result = core::text_field("result", core::to_string(reply.code));
    if (auto const* const document =
            std::get_if<core::apply_document>(&command))
    {
        m_log.write(
            {core::event_code::configuration_applied,
             {core::number_field("version", document->document.version),
              core::number_field("queues", document->document.queues.size()),
              core::number_field(
                  "in_force",
                  m_replica.state().config().in_force().document.version),
              result}});
    }
    if (auto const* const change =
            std::get_if<core::apply_document_delta>(&command))
    {
        log_document_delta(*change, reply);
    }
    if (auto const* const zone = std::get_if<core::evacuate_zone>(&command))
    {
        m_log.write({core::event_code::zone_evacuation_changed,
                     {core::text_field("zone", zone->zone.value()),
                      core::number_field("evacuated", zone->evacuated ? 1 : 0),
                      result}});
    }
}

void control_node::log_document_delta(core::apply_document_delta const& change,
                                      core::command_reply const& reply)
{
    auto const& in_force = m_replica.state().config().in_force().document;
    auto const version = core::number_field("version", change.delta.version);
    auto const current = core::number_field("in_force", in_force.version);
    if (reply.code == core::result_code::document_base_mismatch)
    {
        m_log.write({core::event_code::document_delta_refused,
                     {version,
                      core::number_field("base", change.base_version),
                      current}});
        return;
    }
    m_log.write({core::event_code::configuration_applied,
                 {version,
                  core::number_field("queues", in_force.queues.size()),
                  current,
                  core::text_field("result", core::to_string(reply.code))}});
}

void control_node::add_metrics()
{
    m_metrics.add_gauge_hook("turmericswitch_control_is_leader",
                             "1 while this instance leads.",
                             [this] { return m_leads ? 1.0 : 0.0; });
    m_metrics.add_gauge_hook("turmericswitch_control_storage_failed",
                             "1 while this instance can't write to its disk "
                             "and takes no part in the group.",
                             [this] { return m_storage_failed ? 1.0 : 0.0; });
    m_metrics.add_gauge_hook(
        "turmericswitch_control_applied_index",
        "Index of the last applied entry.",
        [this] { return static_cast<double>(m_applied_index.load()); });
    m_metrics.add_gauge_hook(
        "turmericswitch_control_revision",
        "Configuration revision in force here.",
        [this] { return static_cast<double>(m_revision.load()); });
    m_metrics.add_gauge_hook("turmericswitch_control_loop_backlog",
                             "Tasks waiting for the event loop.",
                             [this]
                             { return static_cast<double>(m_loop.backlog()); });
    m_metrics.add_gauge_hook(
        "turmericswitch_control_peer_bytes_total",
        "Bytes of the connections opened to other members.",
        [this] { return static_cast<double>(m_peer_bytes.load()); });
    m_metrics.add_gauge_hook(
        "turmericswitch_control_snapshot_hold_seconds",
        "Processor time for which the last snapshot held the event loop.",
        [this]
        {
            return std::chrono::duration<double>(
                       core::duration(m_snapshot_cpu_time_us.load()))
                .count();
        });
    add_replication_metrics();
    add_redundancy_metrics();
}

void control_node::add_replication_metrics()
{
    using consensus::replication_status;
    m_metrics.add_gauge_hook(
        "turmericswitch_control_commit_stall_seconds",
        "Time for which the leader has had uncommitted entries and committed "
        "none.",
        [this] { return seconds(core::duration(m_commit_stall_us.load())); });
    auto const add = [this](std::string const& name,
                            std::string const& help,
                            double (*read)(replication_status const&))
    {
        m_metrics.add_family_hook(
            "turmericswitch_control_member_" + name,
            help,
            telemetry::metric_kind::gauge,
            [this, read]
            {
                std::vector<telemetry::labelled_value> values;
                std::lock_guard const lock(m_replication_mutex);
                for (auto const& status : m_replication)
                {
                    auto const id = std::to_string(status.member.value());
                    values.push_back({{{"member", id}}, read(status)});
                }
                return values;
            });
    };
    add("match_index",
        "Last index that the leader knows to be durable on a member.",
        [](replication_status const& status)
        { return static_cast<double>(status.match.value()); });
    add("in_flight_bytes",
        "Bytes sent to a member that the transport holds or that are "
        "unacknowledged.",
        [](replication_status const& status)
        { return static_cast<double>(status.in_flight_bytes); });
    add("answer_age_seconds",
        "Time since a member last answered the leader.",
        [](replication_status const& status)
        { return seconds(process::event_loop::now() - status.last_answer); });
    add("oldest_call_seconds",
        "Age of the oldest message to a member that the transport holds.",
        [](replication_status const& status)
        {
            auto const now = process::event_loop::now();
            return seconds(now - status.oldest_call.value_or(now));
        });
}

void control_node::add_redundancy_metrics()
{
    // Families, so that members that don't lead have no value. A 0 of theirs
    // would look like a group that bears no loss.
    auto const add = [this](std::string const& name,
                            std::string const& help,
                            std::size_t consensus::redundancy::*value)
    {
        m_metrics.add_family_hook(
            "turmericswitch_control_" + name,
            help,
            telemetry::metric_kind::gauge,
            [this, value]
            {
                std::vector<telemetry::labelled_value> values;
                std::lock_guard const lock(m_replication_mutex);
                if (m_redundancy)
                {
                    values.push_back(
                        {{}, static_cast<double>((*m_redundancy).*value)});
                }
                return values;
            });
    };
    add("members_without_vote",
        "Members of the control group that are learners; only on the leader.",
        &consensus::redundancy::members_without_vote);
    add("losses_borne",
        "Further members that the control group may lose without losing its "
        "quorum; only on the leader.",
        &consensus::redundancy::losses_borne);
}

void control_node::update_replication_metrics()
{
    m_commit_stall_us = m_replica.commit_stall().count();
    auto view = m_replica.group_view();
    std::lock_guard const lock(m_replication_mutex);
    m_redundancy.reset();
    if (!view)
    {
        m_replication = m_replica.replication();
        return;
    }
    m_redundancy =
        consensus::redundancy_of(*view, {}, process::event_loop::now());
    m_replication = std::move(view->others);
}

void control_node::manage_membership(core::group_member self,
                                     std::vector<core::endpoint> seeds)
{
    auto link = std::make_unique<shared::control_link>(m_io, seeds, m_seed);
    m_membership = std::make_shared<membership_manager>(
        m_loop,
        m_replica,
        std::move(link),
        std::move(seeds),
        std::move(self),
        [this](core::group_membership const& members)
        { on_members_received(members); },
        [this](core::event const& what) { m_log.write(what); });
}

void control_node::on_members_received(core::group_membership const& members)
{
    if (m_replica.membership().members.empty())
    {
        m_contacts = members;
        on_group_changed();
    }
}

std::shared_ptr<membership_manager> const& control_node::membership() const
{
    return m_membership;
}

std::vector<core::endpoint> control_node::control_endpoints() const
{
    std::vector<core::endpoint> endpoints;
    for (auto const& member : m_replica.membership().members)
    {
        endpoints.push_back(member.rpc);
    }
    return endpoints;
}

void control_node::start()
{
    m_loop.start([this] { on_tick(); });
}

void control_node::transfer_leadership()
{
    m_loop.post(
        [this]
        {
            if (m_replica.is_leading())
            {
                m_log.write({core::event_code::leadership_handed_over, {}});
                m_replica.transfer_leadership();
            }
        });
    std::this_thread::sleep_for(leadership_transfer_wait);
}

void control_node::end_duties()
{
    m_loop.post(
        [this]
        {
            if (auto const ended = std::exchange(m_duties, nullptr))
            {
                ended->end();
            }
            end_workflow_service();
            m_leader_watches.close();
        });
}

void control_node::stop()
{
    m_loop.stop();
}

void control_node::run(process::event_loop::task work)
{
    m_loop.post(std::move(work));
}

void control_node::receive(core::consensus_message message)
{
    m_loop.post(
        [this, message = std::move(message)]
        {
            m_links.learn_sender(message);
            m_replica.receive(message);
        });
}

void control_node::on_tick()
{
    m_replica.tick();
    if (m_duties)
    {
        // The copy keeps the object alive if leadership ends during the tick.
        auto const duties = m_duties;
        duties->tick(process::event_loop::now(),
                     std::chrono::time_point_cast<std::chrono::microseconds>(
                         std::chrono::system_clock::now()));
    }
    if (m_membership)
    {
        m_membership->tick(process::event_loop::now());
    }
    if (auto const workflows = m_workflows)
    {
        workflows->tick(process::event_loop::now());
    }
    m_leader_watches.tick(process::event_loop::now());
    m_applied_index = m_replica.applied_index().value();
    m_revision = m_replica.state().config().current().value();
    m_knows_leader = m_replica.leader().has_value();
    auto const [sent, received] = m_links.transferred();
    m_peer_bytes = sent + received;
    m_snapshot_cpu_time_us = m_replica.snapshot_cpu_time().count();
    update_replication_metrics();
}

void control_node::on_group_changed()
{
    // A joining member must answer the leader before its log contains any
    // membership.
    auto const& members = m_replica.membership();
    m_links.set_members(m_replica.self(),
                        members.members.empty() ? m_contacts : members);
}

replica& control_node::group()
{
    return m_replica;
}

std::shared_ptr<leader_duties> const& control_node::duties() const
{
    return m_duties;
}

std::shared_ptr<workflow_service> const& control_node::workflows() const
{
    return m_workflows;
}

leader_watch_hub& control_node::leader_watches()
{
    return m_leader_watches;
}

core::location control_node::canonical_place(core::location const& place)
{
    auto const& config = m_replica.state().config();
    core::location found = place;
    found.zone = core::zone_id(config.names().resolve_or_same(
        core::name_kind::zone, place.zone.value()));
    for (auto const& rule : config.in_force().zones)
    {
        if (rule.zone == found.zone)
        {
            found.region = rule.region;
        }
    }
    return found;
}

core::service_id
control_node::canonical_service(core::service_id const& service)
{
    return core::service_id(m_replica.state().config().names().resolve_or_same(
        core::name_kind::service, service.value()));
}

telemetry::decision_log& control_node::decisions()
{
    return m_decisions;
}

telemetry::metrics_registry& control_node::metrics()
{
    return m_metrics;
}

std::string control_node::readiness() const
{
    if (m_storage_failed)
    {
        return "storage failed; the instance tries the disk again until it "
               "works";
    }
    return m_knows_leader ? std::string()
                          : "the leader of the control group is unknown";
}

} // namespace turmericswitch::control
