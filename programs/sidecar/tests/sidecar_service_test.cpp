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
    CPPUNIT_TEST(leaves_by_a_rule_under_another_name);
    CPPUNIT_TEST(earlier_configuration_ends_no_drain);
    CPPUNIT_TEST(operators_end_a_drain);
    CPPUNIT_TEST_SUITE_END();

    transport::io_pool m_io{2};
    fake_control m_control{m_io, rules};
    echo_backend m_backend;

    // Guards against a backend server that serves on although a rule with
    // another of its names takes it out (invariant 8).
    void leaves_by_a_rule_under_another_name()
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

    // Guards against a configuration of a deposed leader that takes effect
    // after a newer one (invariant 10).
    void earlier_configuration_ends_no_drain()
    {
        sidecar_node one(m_control, "one", m_backend.where(), 11);
        gateway_node gateway(m_control, 1);
        gateway.wait_for_backends(1);
        m_control.hold_polls(true);
        core::watch_answer news;
        news.config.emplace();
        news.config->leaving.push_back({core::backend_id("one")});
        news.current = core::revision(9);
        one.service().configure(news);
        wait_for([&] { return m_control.draining_announces() > 0; });
        news.config->leaving.clear();
        news.current = core::revision(8);
        one.service().configure(news);
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                             outcome_of(gateway.post("x")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_backend.hits());
    }

    // Guards against a backend server that stays out after its drain ended.
    void operators_end_a_drain()
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
