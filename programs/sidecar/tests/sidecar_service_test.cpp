#include "gateway/tests/request_path_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::testing
{

namespace
{

constexpr char const* rules =
    "zone a region=n # asked by A: test\n"
    "name instance short=one dns=one.example # asked by A: test\n"
    "service s slots=8 connections=60 timeout=60s attempts=3 retries=100% "
    "# asked by A: test\n"
    "route / service=s idempotent=GET # asked by A: test\n";

} // namespace

class sidecar_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sidecar_service_test);
    CPPUNIT_TEST(leaving_rule_applies_under_an_alias);
    CPPUNIT_TEST(older_configuration_does_not_end_drain);
    CPPUNIT_TEST(drain_during_an_announce_is_announced_after_it);
    CPPUNIT_TEST(serves_again_after_drain_ends);
    CPPUNIT_TEST_SUITE_END();

    transport::io_pool m_io{2};
    fake_control m_control{m_io, rules};
    echo_backend m_backend;

    // Guards against a backend server that ignores a `leaving` rule because its
    // settings use an alias and the rule the canonical name (invariant 8).
    void leaving_rule_applies_under_an_alias()
    {
        sidecar_node one(m_control, "one.example", m_backend.where(), 11);
        gateway_node gateway(m_control, 1);
        gateway.wait_for_backends(1);
        m_control.apply(core::set_drain{
            core::operator_id("o"), core::backend_id("one"), true});
        wait_for([&] { return m_control.draining_announces() > 0; });
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                             outcome_of(gateway.post("x")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_backend.hits());
    }

    // Guards against applying an older configuration, sent by a deposed
    // leader, after a newer one (invariant 10).
    void older_configuration_does_not_end_drain()
    {
        sidecar_node one(m_control, "one", m_backend.where(), 11);
        gateway_node gateway(m_control, 1);
        gateway.wait_for_backends(1);
        m_control.hold_polls(true);
        core::watch_answer update;
        update.config.emplace();
        update.config->leaving.push_back({core::backend_id("one")});
        update.current = core::revision(9);
        one.service().configure(update);
        wait_for([&] { return m_control.draining_announces() > 0; });
        update.config->leaving.clear();
        update.current = core::revision(8);
        one.service().configure(update);
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                             outcome_of(gateway.post("x")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_backend.hits());
    }

    // Guards against a drain that control learns of only at the next renewal of
    // the lease because it began while the answer to an announce was on its
    // way.
    void drain_during_an_announce_is_announced_after_it()
    {
        m_control.hold_announce_answers(true);
        sidecar_node one(m_control, "one", m_backend.where(), 11);
        gateway_node gateway(m_control, 1);
        gateway.wait_for_backends(1);
        core::watch_answer update;
        update.config.emplace();
        update.config->leaving.push_back({core::backend_id("one")});
        update.current = core::revision(9);
        one.service().configure(update);
        // The refusal shows that the sidecar drains.
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                             outcome_of(gateway.post("x")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_control.draining_announces());
        m_control.hold_announce_answers(false);
        wait_for([&] { return m_control.draining_announces() > 0; });
    }

    // Guards against a backend server that gets no requests after operators
    // have ended its drain.
    void serves_again_after_drain_ends()
    {
        sidecar_node one(m_control, "one", m_backend.where(), 11);
        gateway_node gateway(m_control, 1);
        gateway.wait_for_backends(1);
        core::set_drain command{
            core::operator_id("o"), core::backend_id("one"), true};
        m_control.apply(command);
        wait_for([&] { return m_control.draining_announces() > 0; });
        command.draining = false;
        m_control.apply(command);
        wait_for([&] { return outcome_of(gateway.post("x")) == "ran"; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_backend.hits());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_service_test);

} // namespace turmericswitch::testing
