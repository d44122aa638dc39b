#include "leader/watch_hub.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::control::testing
{

using core::result_code;

class watch_hub_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(watch_hub_test);
    CPPUNIT_TEST(poll_is_answered_at_a_change);
    CPPUNIT_TEST(poll_ends_after_its_wait);
    CPPUNIT_TEST(registry_changes_answer_only_polls_without_a_scope);
    CPPUNIT_TEST(expired_backend_answers_the_poll);
    CPPUNIT_TEST(new_leaders_registry_is_withheld_until_complete);
    CPPUNIT_TEST(close_answers_not_leader);
    CPPUNIT_TEST_SUITE_END();

    core::time_point m_now{std::chrono::seconds(1)};
    cluster_state::configuration_state m_config;
    cluster_state::backend_registry m_registry{core::term(3),
                                               std::chrono::seconds(10)};
    watch_hub m_hub{m_config, m_registry};
    std::vector<core::watch_answer> m_answers;

    void change_rules()
    {
        auto const reply = m_config.apply(
            core::apply_rules{core::operator_id("o"),
                              m_config.current(),
                              "zone a region=n # asked by A: t\n"},
            {});
        CPPUNIT_ASSERT(reply.code == result_code::ok);
    }

    void announce(std::string const& backend)
    {
        core::announce_request request;
        request.entry.backend = core::backend_id(backend);
        request.entry.sidecar_incarnation = core::incarnation(1);
        m_registry.announce(request, false, m_config.current(), m_now);
    }

    /// Polls for changes after the current configuration and registry.
    void poll(bool wants_registry = true)
    {
        core::watch_request request;
        request.process = core::client_id("p");
        request.in_force = m_config.current();
        request.registry = m_registry.version();
        request.max_wait = std::chrono::seconds(5);
        if (!wants_registry)
        {
            request.scope.emplace();
        }
        m_hub.watch(m_now,
                    request,
                    [this](core::watch_answer answer)
                    { m_answers.push_back(std::move(answer)); });
    }

    void tick(core::duration step = std::chrono::milliseconds(20))
    {
        m_now += step;
        m_hub.tick(m_now);
    }

    // Guards against a change that is sent only when the poll times out
    // (invariant 10).
    void poll_is_answered_at_a_change()
    {
        poll();
        tick();
        CPPUNIT_ASSERT(m_answers.empty());
        change_rules();
        tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_answers.size());
        CPPUNIT_ASSERT(m_answers[0].config &&
                       m_answers[0].current == m_config.current());
        // A change between two polls is answered at once.
        core::watch_request old;
        old.process = core::client_id("q");
        old.registry = m_registry.version();
        m_hub.watch(m_now,
                    old,
                    [this](core::watch_answer answer)
                    { m_answers.push_back(std::move(answer)); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_answers.size());
        CPPUNIT_ASSERT(m_answers[1].config.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_hub.processes().size());
        // A process that takes transfers gets no copy beside the transfer.
        old.delta_base = core::revision();
        m_hub.watch(m_now,
                    old,
                    [this](core::watch_answer answer)
                    { m_answers.push_back(std::move(answer)); });
        CPPUNIT_ASSERT(m_answers[2].current == m_config.current());
        CPPUNIT_ASSERT(!m_answers[2].config);
    }

    // Guards against gateways that drop every backend server because a new
    // leader's registry is still empty.
    void new_leaders_registry_is_withheld_until_complete()
    {
        auto const complete_at = m_now + std::chrono::seconds(10);
        m_hub.withhold_registry_until(complete_at);
        core::watch_request request;
        request.process = core::client_id("g");
        request.in_force = m_config.current();
        request.registry = {core::term(2), core::sequence_number(7)};
        request.max_wait = std::chrono::seconds(30);
        auto const take = [this](core::watch_answer answer)
        { m_answers.push_back(std::move(answer)); };
        m_hub.watch(m_now, request, take);
        announce("b");
        tick();
        CPPUNIT_ASSERT(m_answers.empty());

        // A change of the rules must not replace the gateway's registry.
        change_rules();
        tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_answers.size());
        CPPUNIT_ASSERT(m_answers[0].registry == request.registry);
        CPPUNIT_ASSERT(!m_answers[0].whole_registry && m_answers[0].config);

        // A gateway without any registry gets the incomplete one.
        core::watch_request fresh;
        fresh.process = core::client_id("f");
        m_hub.watch(m_now, fresh, take);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_answers.size());
        CPPUNIT_ASSERT(m_answers[1].whole_registry);

        request.in_force = m_config.current();
        m_hub.watch(m_now, request, take);
        m_now = complete_at;
        m_hub.tick(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_answers.size());
        CPPUNIT_ASSERT(m_answers[2].whole_registry);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_answers[2].changed.size());
    }

    // Guards against a poll that is never answered.
    void poll_ends_after_its_wait()
    {
        poll();
        tick(std::chrono::milliseconds(4900));
        CPPUNIT_ASSERT(m_answers.empty());
        tick(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_answers.size());
        CPPUNIT_ASSERT(!m_answers[0].config && m_answers[0].changed.empty());
    }

    // Guards against polls of sidecars, which have a scope, that are answered
    // at every announcement, and against polls of gateways that are not.
    void registry_changes_answer_only_polls_without_a_scope()
    {
        poll(false);
        poll(true);
        announce("b");
        tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_answers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_answers[0].changed.size());
        change_rules();
        tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_answers.size());
        CPPUNIT_ASSERT(m_answers[1].config && m_answers[1].changed.empty());
    }

    // Guards against a dead backend server that stays in route tables
    // (invariant 8).
    void expired_backend_answers_the_poll()
    {
        announce("b");
        poll();
        m_now += std::chrono::seconds(11);
        CPPUNIT_ASSERT(m_registry.remove_expired(m_now));
        m_hub.tick(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_answers.size());
        CPPUNIT_ASSERT(m_answers[0].removed ==
                       std::vector{core::backend_id("b")});
    }

    // Guards against polls that stay open at a deposed leader.
    void close_answers_not_leader()
    {
        poll();
        m_hub.close();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_answers.size());
        CPPUNIT_ASSERT(m_answers[0].code == result_code::not_leader);
        CPPUNIT_ASSERT(!m_answers[0].config);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_hub_test);

} // namespace turmericswitch::control::testing
