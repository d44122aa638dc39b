#include "tests/node_group.hpp"

#include "api/state_json.hpp"
#include "wire/codec/protocol_version.hpp"

#include <algorithm>
#include <future>
#include <stdexcept>
#include <thread>

namespace turmericswitch::control::testing
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr auto poll_interval = std::chrono::milliseconds(10);
constexpr auto start_limit = std::chrono::seconds(30);
constexpr auto commit_limit = std::chrono::seconds(10);

} // namespace

struct node_group::instance
{
    core::endpoint address;
    control_settings settings;
    turmericswitch::testing::fake_file_system disk;
    std::unique_ptr<control_node> node;
    std::unique_ptr<process_api> api;
    std::unique_ptr<transport::rpc_server> server;
    std::mutex mutex;
    /// Guarded by `mutex`; null while the process does not run.
    process_api* serving = nullptr;
};

node_group::node_group(std::size_t size)
{
    core::group_membership first;
    for (std::size_t i = 1; i <= size; ++i)
    {
        auto& each = *m_instances.emplace_back(std::make_unique<instance>());
        listen(each);
        each.settings.member = core::member_id(i);
        first.members.push_back(
            {each.settings.member, each.address, {}, false});
    }
    for (auto const& each : m_instances)
    {
        auto& settings = each->settings;
        settings.group = "g";
        settings.data_folder = "data";
        settings.rpc = each->address;
        settings.election_timeout = std::chrono::milliseconds(500);
        settings.heartbeat_interval = std::chrono::milliseconds(100);
        settings.snapshot_interval = 10'000;
        settings.first_members = first;
        settings.bootstrap = true;
    }
    for (std::size_t i = 1; i <= size; ++i)
    {
        start(i, i);
        m_instances[i - 1]->settings.bootstrap = false;
    }
    if (!wait_for(start_limit, [this] { return leader() != 0; }))
    {
        throw std::runtime_error("the group has no leader");
    }
}

node_group::~node_group()
{
    for (std::size_t i = 1; i <= m_instances.size(); ++i)
    {
        crash(i);
    }
    for (auto const& each : m_instances)
    {
        each->server.reset();
    }
}

void node_group::listen(instance& each)
{
    transport::connection_options connection;
    connection.protocol_version = wire::protocol_version;
    each.server = transport::rpc_server::listen(
        m_io,
        {"127.0.0.1", 0},
        [&each](transport::rpc_request const& request,
                transport::responder answer)
        {
            std::lock_guard const lock(each.mutex);
            if (each.serving != nullptr)
            {
                each.serving->handle(request, std::move(answer));
            }
        },
        connection,
        [](std::string const&) {});
    if (!each.server)
    {
        throw std::runtime_error("can't listen");
    }
    each.address = each.server->bound();
}

void node_group::start(std::size_t number, std::uint64_t seed)
{
    auto& each = *m_instances.at(number - 1);
    auto parts = recover(each.disk, each.settings, start_mode::automatic, seed);
    if (!parts)
    {
        throw std::runtime_error("can't recover");
    }
    each.node = std::make_unique<control_node>(
        m_io, std::move(*parts), duty_settings{});
    std::vector<core::endpoint> contacts;
    for (auto const& other : m_instances)
    {
        contacts.push_back(other->address);
    }
    each.node->manage_membership(
        {each.node->group().self(), each.address, {}, false}, contacts);
    each.api = std::make_unique<process_api>(*each.node);
    {
        std::lock_guard const lock(each.mutex);
        each.serving = each.api.get();
    }
    each.node->start();
}

void node_group::crash(std::size_t number)
{
    auto& each = *m_instances.at(number - 1);
    if (!each.node)
    {
        return;
    }
    {
        std::lock_guard const lock(each.mutex);
        each.serving = nullptr;
    }
    each.node->stop();
    each.node.reset();
    each.api.reset();
    each.disk.crash();
}

void node_group::lose_disk(std::size_t number)
{
    crash(number);
    m_instances.at(number - 1)->disk =
        turmericswitch::testing::fake_file_system();
}

core::member_id node_group::id_of(std::size_t number) const
{
    return m_instances.at(number - 1)->node->group().self();
}

void node_group::run(instance& each, std::function<void()> work)
{
    std::promise<void> done;
    each.node->run(
        [&done, work = std::move(work)]
        {
            work();
            done.set_value();
        });
    done.get_future().wait();
}

core::group_membership node_group::membership(std::size_t number)
{
    auto& each = *m_instances.at(number - 1);
    core::group_membership found;
    run(each, [&] { found = each.node->group().membership(); });
    return found;
}

std::size_t node_group::leader()
{
    for (std::size_t i = 1; i <= m_instances.size(); ++i)
    {
        auto& each = *m_instances[i - 1];
        bool leads = false;
        if (each.node)
        {
            run(each, [&] { leads = each.node->group().is_leading(); });
        }
        if (leads)
        {
            return i;
        }
    }
    return 0;
}

bool node_group::is_whole(std::vector<std::size_t> const& numbers)
{
    auto const at = leader();
    if (at == 0)
    {
        return false;
    }
    auto const members = membership(at).members;
    return members.size() == numbers.size() &&
           std::all_of(numbers.begin(),
                       numbers.end(),
                       [&](std::size_t number)
                       {
                           return std::any_of(
                               members.begin(),
                               members.end(),
                               [&](core::group_member const& member) {
                                   return !member.learner &&
                                          member.id == id_of(number);
                               });
                       });
}

std::string node_group::metrics(std::size_t number) const
{
    return m_instances.at(number - 1)->node->metrics().text();
}

std::string node_group::status(std::size_t number)
{
    auto& each = *m_instances.at(number - 1);
    std::string found;
    run(each, [&] { found = status_to_json(*each.node); });
    return found;
}

bool node_group::commit(std::size_t bytes)
{
    core::job_description job;
    job.name = std::string(bytes, 'x');
    // Replies may come after this call has given up on them.
    auto const is_acknowledged = std::make_shared<std::atomic<bool>>(false);
    auto const at = leader();
    if (at == 0)
    {
        return false;
    }
    auto& each = *m_instances[at - 1];
    run(each,
        [&]
        {
            each.node->group().propose(
                core::submit_jobs{{job}},
                {},
                {},
                [is_acknowledged](core::command_reply const& reply)
                {
                    using core::result_code;
                    *is_acknowledged =
                        reply.code != result_code::not_leader &&
                        reply.code != result_code::no_quorum &&
                        reply.code != result_code::outcome_unknown;
                });
        });
    return wait_for(commit_limit, [&] { return is_acknowledged->load(); });
}

bool node_group::wait_for(std::chrono::milliseconds limit,
                          std::function<bool()> const& done)
{
    auto const end = clock::now() + limit;
    while (!done())
    {
        if (clock::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace turmericswitch::control::testing
