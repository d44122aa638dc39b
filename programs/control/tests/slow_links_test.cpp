#include "api/process_api.hpp"
#include "node/control_node.hpp"
#include "node/recovery.hpp"
#include "support/fake_file_system.hpp"
#include "support/silencing_relay.hpp"
#include "wire/codec/protocol_version.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace turmericswitch::control::testing
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::size_t group_size = 3;
/// A configuration with 1,200 queues has this size, in bytes.
constexpr std::size_t large_entry_bytes = 330'000;
/// One entry takes 1.1 s, more than the 300 ms without progress after which
/// appends were once taken for lost; in bytes per second.
constexpr std::size_t slow_rate = 300'000;

/// A control instance whose peers reach it through a relay.
struct relayed_member
{
    turmericswitch::testing::fake_file_system disk;
    control_settings settings;
    std::unique_ptr<control_node> node;
    std::unique_ptr<process_api> api;
    std::unique_ptr<transport::rpc_server> server;
    std::unique_ptr<turmericswitch::testing::silencing_relay> relay;
    std::atomic<process_api*> serving = nullptr;
};

} // namespace

class slow_links_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slow_links_test);
    CPPUNIT_TEST(large_entries_commit_over_slow_links);
    CPPUNIT_TEST_SUITE_END();

    transport::io_pool m_io{2};
    std::array<relayed_member, group_size> m_members;
    std::atomic<int> m_applied = 0;

public:
    void setUp() override
    {
        core::group_membership first;
        for (auto& member : m_members)
        {
            listen(member);
            member.settings.member = core::member_id(first.members.size() + 1);
            first.members.push_back(
                {member.settings.member, member.relay->address(), {}, false});
        }
        for (auto& member : m_members)
        {
            start(member, first);
        }
    }

    void tearDown() override
    {
        for (auto& member : m_members)
        {
            member.serving = nullptr;
            member.node->stop();
        }
        for (auto& member : m_members)
        {
            member.server.reset();
            member.node.reset();
        }
    }

private:
    void listen(relayed_member& member)
    {
        transport::connection_options connection;
        connection.protocol_version = wire::protocol_version;
        member.server = transport::rpc_server::listen(
            m_io,
            {"127.0.0.1", 0},
            [&member](transport::rpc_request const& request,
                      transport::responder answer)
            {
                if (auto* const api = member.serving.load())
                {
                    api->handle(request, std::move(answer));
                }
            },
            connection,
            [](std::string const&) {});
        CPPUNIT_ASSERT(member.server);
        member.relay =
            std::make_unique<turmericswitch::testing::silencing_relay>(
                member.server->bound());
    }

    void start(relayed_member& member, core::group_membership const& first)
    {
        auto& settings = member.settings;
        settings.group = "g";
        settings.data_folder = "data";
        settings.election_timeout = std::chrono::milliseconds(500);
        settings.heartbeat_interval = std::chrono::milliseconds(100);
        settings.first_members = first;
        auto parts = recover(member.disk,
                             settings,
                             start_mode::bootstrap,
                             settings.member.value());
        CPPUNIT_ASSERT(parts);
        member.node = std::make_unique<control_node>(
            m_io, std::move(*parts), duty_settings{});
        member.api = std::make_unique<process_api>(*member.node);
        member.serving = member.api.get();
        member.node->start();
    }

    /// Proposes a large command at every member; only a leader accepts it.
    void propose()
    {
        core::job_description job;
        job.name = std::string(large_entry_bytes, 'x');
        for (auto& member : m_members)
        {
            auto* const node = member.node.get();
            node->run(
                [this, node, job]
                {
                    node->group().propose(
                        core::submit_jobs{{job}},
                        {},
                        {},
                        [this](core::command_reply const& reply)
                        {
                            m_applied +=
                                reply.code != core::result_code::not_leader &&
                                reply.code !=
                                    core::result_code::outcome_unknown &&
                                reply.code != core::result_code::no_quorum;
                        });
                });
        }
    }

    bool wait_for_applied(int count, std::chrono::seconds limit)
    {
        auto const end = clock::now() + limit;
        while (m_applied < count && clock::now() < end)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return m_applied >= count;
    }

    // Guards against copies of large entries that saturate slow links until
    // nothing is committed, and against entries that stay lost when
    // connections end while they are sent.
    void large_entries_commit_over_slow_links()
    {
        for (int i = 0; i < 100 && m_applied == 0; ++i)
        {
            propose();
            wait_for_applied(1, std::chrono::seconds(1));
        }
        CPPUNIT_ASSERT(m_applied > 0);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        for (auto& member : m_members)
        {
            member.relay->limit_rate(slow_rate);
        }
        int const before = m_applied;
        propose();
        propose();
        propose();
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        m_members[0].relay->close_connections();
        CPPUNIT_ASSERT(wait_for_applied(before + 3, std::chrono::seconds(12)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_links_test);

} // namespace turmericswitch::control::testing
