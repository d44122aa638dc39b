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
    CPPUNIT_TEST(registry_changes_wake_only_who_wants_them);
    CPPUNIT_TEST(lease_end_is_a_change);
    CPPUNIT_TEST(new_leaders_registry_is_held_until_it_is_settled);
    CPPUNIT_TEST(close_answers_not_leader);
    CPPUNIT_TEST_SUITE_END();

    core::time_point now{std::chrono::seconds(1)};
    cluster_state::configuration_state config;
    cluster_state::backend_registry registry{core::term(3),
                                             std::chrono::seconds(10)};
    watch_hub hub{config, registry};
    std::vector<core::watch_answer> answers;

    void change_rules()
    {
        auto const reply =
            config.apply(core::apply_rules{core::operator_id("o"),
                                           config.current(),
                                           "zone a region=n # asked by A: t\n"},
                         {});
        CPPUNIT_ASSERT(reply.code == result_code::ok);
    }

    void announce(std::string const& backend)
    {
        core::announce_request request;
        request.entry.backend = core::backend_id(backend);
        request.entry.sidecar_incarnation = core::incarnation(1);
        registry.announce(request, false, config.current(), now);
    }

    /// Asks for what comes after everything known now.
    void poll(bool wants_registry = true)
    {
        core::watch_request request;
        request.process = core::client_id("p");
        request.in_force = config.current();
        request.registry = registry.version();
        request.max_wait = std::chrono::seconds(5);
        request.wants_registry = wants_registry;
        hub.watch(now,
                  request,
                  [this](core::watch_answer answer)
                  { answers.push_back(std::move(answer)); });
    }

    void tick(core::duration step = std::chrono::milliseconds(20))
    {
        now += step;
        hub.tick(now);
    }

    // Guards against a change that waits for the end of the poll (invariant
    // 10).
    void poll_is_answered_at_a_change()
    {
        poll();
        tick();
        CPPUNIT_ASSERT(answers.empty());
        change_rules();
        tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        CPPUNIT_ASSERT(answers[0].config &&
                       answers[0].current == config.current());
        // A change between two polls is answered at once.
        core::watch_request old;
        old.process = core::client_id("q");
        old.registry = registry.version();
        hub.watch(now,
                  old,
                  [this](core::watch_answer answer)
                  { answers.push_back(std::move(answer)); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), answers.size());
        CPPUNIT_ASSERT(answers[1].config.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), hub.processes().size());
    }

    // Guards against gateways that drop every backend server because a new
    // leader's registry is still empty.
    void new_leaders_registry_is_held_until_it_is_settled()
    {
        auto const settled = now + std::chrono::seconds(10);
        hub.hold_registry_until(settled);
        core::watch_request request;
        request.process = core::client_id("g");
        request.in_force = config.current();
        request.registry = {core::term(2), core::sequence_number(7)};
        request.max_wait = std::chrono::seconds(30);
        auto const take = [this](core::watch_answer answer)
        { answers.push_back(std::move(answer)); };
        hub.watch(now, request, take);
        announce("b");
        tick();
        CPPUNIT_ASSERT(answers.empty());

        // A change of the rules leaves what the gateway has in place.
        change_rules();
        tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        CPPUNIT_ASSERT(answers[0].registry == request.registry);
        CPPUNIT_ASSERT(!answers[0].whole_registry && answers[0].config);

        // A gateway without any registry takes what there is.
        core::watch_request fresh;
        fresh.process = core::client_id("f");
        hub.watch(now, fresh, take);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), answers.size());
        CPPUNIT_ASSERT(answers[1].whole_registry);

        request.in_force = config.current();
        hub.watch(now, request, take);
        now = settled;
        hub.tick(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), answers.size());
        CPPUNIT_ASSERT(answers[2].whole_registry);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers[2].changed.size());
    }

    // Guards against a poll that is never answered.
    void poll_ends_after_its_wait()
    {
        poll();
        tick(std::chrono::milliseconds(4900));
        CPPUNIT_ASSERT(answers.empty());
        tick(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        CPPUNIT_ASSERT(!answers[0].config && answers[0].changed.empty());
    }

    // Guards against sidecars that are woken by every announce, and against
    // gateways that are not.
    void registry_changes_wake_only_who_wants_them()
    {
        poll(false);
        poll(true);
        announce("b");
        tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers[0].changed.size());
        change_rules();
        tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), answers.size());
        CPPUNIT_ASSERT(answers[1].config && answers[1].changed.empty());
    }

    // Guards against a dead backend server that stays in route tables
    // (invariant 8).
    void lease_end_is_a_change()
    {
        announce("b");
        poll();
        now += std::chrono::seconds(11);
        CPPUNIT_ASSERT(registry.tick(now));
        hub.tick(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        CPPUNIT_ASSERT(answers[0].removed ==
                       std::vector{core::backend_id("b")});
    }

    // Guards against polls that hang at a deposed leader.
    void close_answers_not_leader()
    {
        poll();
        hub.close();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        CPPUNIT_ASSERT(answers[0].code == result_code::not_leader);
        CPPUNIT_ASSERT(!answers[0].config);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_hub_test);

} // namespace turmericswitch::control::testing
