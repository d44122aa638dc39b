#include "tests/replica_group.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::control::testing
{

namespace
{

core::duration const tick_time = std::chrono::milliseconds(20);

core::job_description small_job()
{
    core::job_description job;
    job.name = "j";
    job.team = core::team_id("t");
    job.kind = core::task_kind("k");
    job.declared.cpu = core::millicores(100);
    return job;
}

} // namespace

replica_group::replica_group(std::size_t size, std::uint64_t snapshot_interval)
    : m_snapshot_interval(snapshot_interval)
{
    process::event_loop::set_clock([this] { return now; });
    for (std::size_t i = 0; i < size; ++i)
    {
        add();
    }
    core::group_membership first;
    for (std::size_t i = 1; i <= size; ++i)
    {
        first.members.push_back(member(i));
    }
    for (std::size_t i = 1; i <= size; ++i)
    {
        at(i).settings.first_members = first;
        start(i, start_mode::bootstrap);
    }
}

replica_group::~replica_group()
{
    for (std::size_t i = 1; i <= m_instances.size(); ++i)
    {
        stop(i);
    }
    process::event_loop::set_clock({});
}

replica_group::instance& replica_group::at(std::size_t number)
{
    return *m_instances.at(number - 1);
}

replica& replica_group::node(std::size_t number)
{
    return *at(number).node;
}

replica_group::instance& replica_group::add()
{
    auto added = std::make_unique<instance>();
    auto& settings = added->settings;
    settings.member = core::member_id(m_instances.size() + 1);
    settings.group = "g";
    settings.data_folder = "data";
    settings.election_timeout = std::chrono::milliseconds(500);
    settings.heartbeat_interval = std::chrono::milliseconds(100);
    settings.snapshot_interval = m_snapshot_interval;
    if (!m_instances.empty())
    {
        settings.first_members = at(1).settings.first_members;
    }
    m_instances.push_back(std::move(added));
    return *m_instances.back();
}

core::group_member replica_group::member(std::size_t number) const
{
    core::group_member found;
    found.id = core::member_id(number);
    return found;
}

bool replica_group::start(std::size_t number, start_mode mode)
{
    auto& each = at(number);
    auto parts = recover(each.disk, each.settings, mode, number);
    if (!parts)
    {
        return false;
    }
    each.loop = std::make_unique<process::event_loop>(tick_time);
    each.node = std::make_unique<replica>(
        *each.loop, std::move(*parts), make_hooks(each));
    return true;
}

replica_hooks replica_group::make_hooks(instance& each)
{
    replica_hooks hooks;
    hooks.transmit = [this, &each](consensus::send const& message)
    {
        ++each.transmitted;
        m_messages.push_back(message);
    };
    hooks.leadership_began = [this, &each]
    {
        each.duties = std::make_shared<leader_duties>(
            *each.node,
            duty_settings{},
            placement::planner_options{},
            [](core::decision_record const&) {});
        each.duties->begin(now);
    };
    hooks.leadership_ended = [&each]
    {
        if (auto const ended = std::exchange(each.duties, nullptr))
        {
            ended->end();
        }
    };
    hooks.applied = [&each](core::command_body const& command,
                            core::command_reply const& reply)
    {
        if (each.duties)
        {
            each.duties->applied(command, reply);
        }
    };
    hooks.group_changed = [] {};
    hooks.on_event = [this](core::event const& what)
    { events.push_back(what); };
    hooks.storage_failed = [](std::string const&) {};
    hooks.storage_recovered = [](storage_recovery const&) {};
    return hooks;
}

void replica_group::stop(std::size_t number)
{
    auto& each = at(number);
    if (each.loop)
    {
        each.loop->stop();
    }
    if (auto const ended = std::exchange(each.duties, nullptr))
    {
        ended->end();
    }
    each.node.reset();
    each.loop.reset();
}

void replica_group::crash(std::size_t number)
{
    stop(number);
    at(number).disk.crash();
}

void replica_group::step()
{
    now += tick_time;
    for (auto const& each : m_instances)
    {
        if (each->node)
        {
            each->node->tick();
            if (each->duties)
            {
                each->duties->tick(now,
                                   core::wall_time(now.time_since_epoch()));
            }
        }
    }
    drain();
}

void replica_group::drain()
{
    do
    {
        for (auto const& each : m_instances)
        {
            if (each->node)
            {
                each->loop->run_pending();
                each->node->wait_until_written();
            }
        }
    } while (deliver() ||
             std::any_of(m_instances.begin(),
                         m_instances.end(),
                         [](auto const& each)
                         { return each->loop && each->loop->backlog() > 0; }));
}

bool replica_group::deliver()
{
    auto const messages = std::exchange(m_messages, {});
    for (auto const& [message, delivery] : messages)
    {
        auto& from = at(message.from.value());
        auto& to = at(message.to.value());
        bool const is_lost =
            from.isolated || to.isolated || !to.node ||
            (loses_payload && delivery != consensus::delivery_id()) ||
            core::random_below(random, 100) < loss_percent;
        if (!is_lost)
        {
            to.node->receive(message);
        }
        if (delivery != consensus::delivery_id() && from.node)
        {
            from.node->end_delivery(delivery, !is_lost);
        }
    }
    return !messages.empty();
}

bool replica_group::step_until(std::function<bool()> const& done, int steps)
{
    for (int i = 0; i < steps && !done(); ++i)
    {
        step();
    }
    return done();
}

std::size_t replica_group::leader()
{
    for (std::size_t i = 1; i <= m_instances.size(); ++i)
    {
        if (at(i).node && at(i).node->is_leading() && !at(i).isolated)
        {
            return i;
        }
    }
    return 0;
}

std::size_t replica_group::wait_for_leader()
{
    step_until([this] { return leader() != 0; });
    return leader();
}

void replica_group::submit(std::size_t number)
{
    node(number).propose(core::submit_jobs{{small_job()}},
                         {},
                         {},
                         [this](core::command_reply const& reply)
                         {
                             if (reply.code != core::result_code::ok)
                             {
                                 refusals.push_back(reply.code);
                                 return;
                             }
                             acknowledged.push_back(reply.jobs.at(0));
                         });
}

bool replica_group::submit_jobs_and_wait(int count)
{
    auto const wanted = acknowledged.size() + static_cast<std::size_t>(count);
    return step_until(
        [&]
        {
            if (acknowledged.size() < wanted && leader() != 0)
            {
                submit(leader());
            }
            return acknowledged.size() >= wanted;
        });
}

bool replica_group::has_acknowledged(std::size_t number)
{
    auto const& jobs = node(number).state().jobs();
    return std::all_of(acknowledged.begin(),
                       acknowledged.end(),
                       [&jobs](core::job_id id)
                       { return jobs.find(id) != nullptr; });
}

bool replica_group::has_converged()
{
    std::set<std::string> states;
    bool has_all = true;
    for (std::size_t i = 1; i <= m_instances.size(); ++i)
    {
        if (at(i).node)
        {
            states.insert(node(i).state().snapshot());
            has_all = has_all && has_acknowledged(i);
        }
    }
    return has_all && states.size() == 1;
}

} // namespace turmericswitch::control::testing
