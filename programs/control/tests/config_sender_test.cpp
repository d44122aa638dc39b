#include "api/config_sender.hpp"
#include "shared/control_link/config_assembly.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace turmericswitch::control::testing
{

using namespace std::chrono_literals;

/// Processes that receive the configuration over links of given speeds, in
/// simulated time.
class config_sender_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_sender_test);
    CPPUNIT_TEST(small_change_is_sent_as_a_delta);
    CPPUNIT_TEST(process_without_a_kept_base_gets_the_whole);
    CPPUNIT_TEST(answer_on_its_way_is_not_sent_again);
    CPPUNIT_TEST(many_processes_share_the_bytes_in_flight);
    CPPUNIT_TEST(transfer_resumes_at_another_instance);
    CPPUNIT_TEST(other_base_is_detected);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int queue_count = 1200;

    struct instance
    {
        cluster_state::configuration_state config;
        telemetry::metrics_registry metrics;
        config_sender sender{config, metrics};
    };

    struct receiver
    {
        core::client_id name;
        std::uint64_t bytes_per_second = 0;
        core::time_point next;
        shared::config_assembly assembly;
        std::uint64_t received = 0;
    };

    core::time_point m_now{1s};
    instance m_leader;

    static core::configuration_document document_of(std::uint64_t version)
    {
        core::configuration_document document;
        document.version = version;
        for (int i = 0; i < queue_count; ++i)
        {
            core::queue_rule rule;
            rule.queue = core::queue_id("queue-" + std::to_string(i));
            rule.host = std::string(180, 'h') + std::to_string(i);
            rule.priority = i == 7 ? static_cast<std::uint32_t>(version) : 1;
            document.queues.push_back(rule);
        }
        return document;
    }

    static void apply(instance& at, std::uint64_t version)
    {
        CPPUNIT_ASSERT(
            at.config.apply(core::apply_document{document_of(version)}, {})
                .code == core::result_code::ok);
    }

    core::config_transfer offer(std::uint64_t base, std::string const& name)
    {
        core::watch_request request;
        request.process = core::client_id(name);
        request.in_force = core::revision(base);
        request.delta_base = request.in_force;
        core::watch_answer answer;
        answer.current = m_leader.config.current();
        m_leader.sender.on_watch(m_now, request);
        m_leader.sender.add_transfer(m_now, request, answer);
        CPPUNIT_ASSERT(answer.transfer.has_value());
        return *answer.transfer;
    }

    core::chunk_answer chunk(instance& at, receiver const& to) const
    {
        return at.sender.answer_chunk(
            m_now, {to.name, to.assembly.content(), to.assembly.offset()});
    }

    // Guards against whole configurations for a change of one queue.
    void small_change_is_sent_as_a_delta()
    {
        apply(m_leader, 1);
        apply(m_leader, 2);
        auto const transfer = offer(1, "g");
        CPPUNIT_ASSERT(!transfer.bytes.empty() && transfer.bytes.size() < 600);
        shared::config_assembly assembly;
        assembly.begin(transfer);
        auto const next =
            assembly.finish(*m_leader.config.kept(core::revision(1)));
        CPPUNIT_ASSERT(next && *next == m_leader.config.in_force());
    }

    // Guards against a process that stays behind because its revision is no
    // longer kept after a rapid series of changes.
    void process_without_a_kept_base_gets_the_whole()
    {
        for (std::uint64_t i = 1; i <= cluster_state::max_kept_revisions + 1;
             ++i)
        {
            apply(m_leader, i);
        }
        CPPUNIT_ASSERT(offer(2, "g").content.base == core::revision(2));
        auto const transfer = offer(1, "h");
        CPPUNIT_ASSERT(transfer.content.base == core::revision());
        CPPUNIT_ASSERT(transfer.bytes.empty());
        CPPUNIT_ASSERT(transfer.content.total_bytes > core::config_chunk_bytes);
        // A chunk of a content that is not kept is refused, not wrong.
        receiver late{core::client_id("l"), 0, {}, {}, 0};
        late.assembly.begin({{core::revision(1), {}, 9, 9}, {}});
        CPPUNIT_ASSERT(chunk(m_leader, late).code ==
                       core::result_code::configuration_unavailable);
    }

    // Guards against a process on a slow link that is sent a revision again
    // each time it asks.
    void answer_on_its_way_is_not_sent_again()
    {
        apply(m_leader, 1);
        apply(m_leader, 2);
        CPPUNIT_ASSERT(!offer(1, "g").bytes.empty());
        m_now += 100ms;
        CPPUNIT_ASSERT(offer(1, "g").bytes.empty());
        CPPUNIT_ASSERT(!offer(1, "other").bytes.empty());
    }

    void step(receiver& each)
    {
        auto const answer = chunk(m_leader, each);
        CPPUNIT_ASSERT(answer.code == core::result_code::ok);
        each.next = m_now + answer.retry_after;
        if (!answer.bytes.empty())
        {
            CPPUNIT_ASSERT(each.assembly.append(answer.bytes));
            each.received += answer.bytes.size();
            each.next = m_now + 24ms +
                        core::duration(answer.bytes.size() * 1'000'000 /
                                       each.bytes_per_second);
        }
    }

    // Guards against 80 whole configurations on the links at once (26 MB), and
    // against slow links that delay the others.
    void many_processes_share_the_bytes_in_flight()
    {
        apply(m_leader, 1);
        std::vector<receiver> receivers(80);
        for (std::size_t i = 0; i < receivers.size(); ++i)
        {
            auto& each = receivers[i];
            each.name = core::client_id("g" + std::to_string(i));
            each.bytes_per_second = i % 5 == 0 ? 250'000 : 25'000'000;
            each.assembly.begin(offer(0, each.name.value()));
        }
        auto const& in_flight = m_leader.metrics.gauge(
            "turmericswitch_control_config_bytes_in_flight", "");
        auto const total = receivers.front().assembly.content().total_bytes;
        auto const begun = m_now;
        std::vector<std::string> order;
        while (order.size() < receivers.size() && m_now < begun + 60s)
        {
            m_now += 1ms;
            for (auto& each : receivers)
            {
                if (each.next <= m_now && !each.assembly.is_complete())
                {
                    step(each);
                    if (each.assembly.is_complete())
                    {
                        order.push_back(each.name.value());
                    }
                }
                CPPUNIT_ASSERT(in_flight.value() <= 256 * 1024);
            }
        }
        CPPUNIT_ASSERT_EQUAL(receivers.size(), order.size());
        for (auto const& each : receivers)
        {
            CPPUNIT_ASSERT_EQUAL(total, each.received);
        }
        // Most fast links are served before the first slow one.
        auto const first_slow =
            std::find_if(order.begin(),
                         order.end(),
                         [](std::string const& name)
                         { return std::stoi(name.substr(1)) % 5 == 0; });
        CPPUNIT_ASSERT(first_slow - order.begin() > 40);
    }

    // Guards against a transfer that begins again after a change of leader.
    void transfer_resumes_at_another_instance()
    {
        instance other;
        apply(m_leader, 1);
        apply(other, 1);
        receiver to{core::client_id("g"), 0, {}, {}, 0};
        to.assembly.begin(offer(0, "g"));
        CPPUNIT_ASSERT(to.assembly.append(chunk(m_leader, to).bytes));
        auto const before = to.assembly.offset();
        // The new leader names the same content.
        to.assembly.begin({to.assembly.content(), {}});
        CPPUNIT_ASSERT_EQUAL(before, to.assembly.offset());
        while (!to.assembly.is_complete())
        {
            m_now += 1s;
            CPPUNIT_ASSERT(to.assembly.append(chunk(other, to).bytes));
        }
        auto const next = to.assembly.finish({});
        CPPUNIT_ASSERT(next && *next == other.config.in_force());
    }

    // Guards against a delta that is applied to another configuration with the
    // same revision, for example one of an earlier control group.
    void other_base_is_detected()
    {
        apply(m_leader, 1);
        apply(m_leader, 2);
        core::configuration other;
        other.document = document_of(1);
        other.document.queues[3].priority = 9;
        shared::config_assembly assembly;
        assembly.begin(offer(1, "g"));
        CPPUNIT_ASSERT(!assembly.finish(other));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_sender_test);

} // namespace turmericswitch::control::testing
