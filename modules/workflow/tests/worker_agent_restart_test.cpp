#include "worker_agent_fixture.hpp"
#include "workflow/agent/fencing_token.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// Restarts of the worker under its id.
class worker_agent_restart_test : public worker_agent_fixture
{
    CPPUNIT_TEST_SUITE(worker_agent_restart_test);
    CPPUNIT_TEST(registration_of_an_earlier_incarnation_is_ignored);
    CPPUNIT_TEST(overtaken_registration_is_ignored);
    CPPUNIT_TEST(crash_is_reported_until_it_is_acknowledged);
    CPPUNIT_TEST(end_with_notice_is_not_reported_as_a_crash);
    CPPUNIT_TEST(next_incarnation_is_fenced_before_a_leader_answers);
    CPPUNIT_TEST(unanswered_first_call_is_repeated_soon);
    CPPUNIT_TEST(first_list_of_the_next_incarnation_is_reported_at_once);
    CPPUNIT_TEST(incarnation_that_began_after_the_clock_was_set_back_is_used);
    CPPUNIT_TEST(late_notice_of_the_earlier_incarnation_is_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    // A delayed registration can arrive after the worker has restarted.
    void registration_of_an_earlier_incarnation_is_ignored()
    {
        m_agent->registered(profile("w1", 8000, 2));
        CPPUNIT_ASSERT(!m_agent->registered(profile("w1", 8000, 1)));
        CPPUNIT_ASSERT(m_agent->profile()->life == core::incarnation(2));
    }

    // A delayed registration brought an earlier, larger capacity back.
    void overtaken_registration_is_ignored()
    {
        m_agent->registered(profile("w1", 8000), 4);
        CPPUNIT_ASSERT(m_agent->registered(profile("w1", 4000), 6));
        CPPUNIT_ASSERT(!m_agent->registered(profile("w1", 8000), 5));
        CPPUNIT_ASSERT(*m_agent->profile() == profile("w1", 4000));
        // The numbers start anew in each life.
        CPPUNIT_ASSERT(m_agent->registered(profile("w1", 8000, 2), 1));
        CPPUNIT_ASSERT(m_agent->registered(profile("w1", 4000, 2), 2));
        CPPUNIT_ASSERT(*m_agent->profile() == profile("w1", 4000, 2));
    }

    // The report of a crash may find no leader, or one that loses its place
    // before the commit. Guards against a crash that is not counted then.
    void crash_is_reported_until_it_is_acknowledged()
    {
        start_up();
        auto const later = run_of("b", 0, 0);
        answer(m_syncs, std::optional(list_at(1000, {m_run})));
        grant(1);
        answer(m_syncs, std::optional(list_at(1500, {m_run, later})));
        grant(1);
        m_syncs.clear();
        m_agent->registered(profile("w1", 8000, 2));
        core::worker_incarnation const ended{core::worker_id("w1"),
                                             core::incarnation(1)};
        std::vector<core::crashed_incarnation> const expected{{ended, {m_run}}};
        CPPUNIT_ASSERT(last_report().crashed == expected);
        answer(m_reports, std::optional<core::runtime_grant>());
        run_delayed();
        CPPUNIT_ASSERT(last_report().crashed == expected);
        core::runtime_grant acknowledged;
        acknowledged.fencing_token = 2;
        acknowledged.acknowledged_crashes = {ended};
        answer(m_reports, std::optional(acknowledged));
        answer(m_syncs, std::optional(list_at(2000, {})));
        CPPUNIT_ASSERT(last_report().crashed.empty());
    }

    // Planned restarts would fail jobs.
    void end_with_notice_is_not_reported_as_a_crash()
    {
        start_up();
        m_agent->registered(draining_profile(1));
        m_agent->unregistered(core::worker_id("w1"));
        m_agent->registered(profile("w1", 8000, 2));
        CPPUNIT_ASSERT(last_report().crashed.empty());
        m_agent->registered(draining_profile(2));
        m_agent->registered(profile("w1", 8000, 3));
        CPPUNIT_ASSERT(last_report().crashed.empty());
    }

    // A worker that has restarted under its id has seen no token and would
    // execute calls that were meant for its earlier incarnation. Guards against
    // such a call that is executed after the leader has read the first list.
    void next_incarnation_is_fenced_before_a_leader_answers()
    {
        start_up(fencing_token(core::term(3), 1));
        auto const earlier = m_syncs.front().call.fencing_token;
        m_syncs.clear();
        m_agent->registered(profile("w1", 8000, 2));
        auto const own = m_syncs.front().call.fencing_token;
        CPPUNIT_ASSERT(own > earlier);
        CPPUNIT_ASSERT(!m_syncs.front().call.lease_until);
        CPPUNIT_ASSERT(m_syncs.front().call.wait == core::duration{});
        CPPUNIT_ASSERT(own < fencing_token(core::term(3), 2));
    }

    // The first call to an incarnation has no answer. Guards against a second
    // in which the worker executes late calls of the earlier incarnation, and
    // against calls without end to a worker that answers slowly.
    void unanswered_first_call_is_repeated_soon()
    {
        start_up();
        m_syncs.clear();
        m_agent->registered(profile("w1", 8000, 2));
        for (int i = 0; i < 9; ++i)
        {
            run_delayed();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, m_syncs.size());
        for (auto const& [call, done] : m_syncs)
        {
            CPPUNIT_ASSERT(!call.lease_until);
            CPPUNIT_ASSERT(call.fencing_token ==
                           m_syncs.front().call.fencing_token);
        }
        // A call without an answer says nothing while others are under way.
        answer(m_syncs, std::optional<sync_result>());
        CPPUNIT_ASSERT(!last_report().silent);
        answer(m_syncs, std::optional(list_at(10, {})));
        CPPUNIT_ASSERT(last_report().runs.has_value());
    }

    // The leader places the tasks of the earlier incarnation again once it has
    // the list. Guards against a list that waits for the grant of the report
    // without one.
    void first_list_of_the_next_incarnation_is_reported_at_once()
    {
        start_up();
        m_syncs.clear();
        m_agent->registered(profile("w1", 8000, 2));
        CPPUNIT_ASSERT(!last_report().runs);
        answer(m_syncs, std::optional(list_at(10, {m_run})));
        CPPUNIT_ASSERT(last_report().runs.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_reports.size());
        // The grant for the first of the two reports is dropped.
        grant(3);
        CPPUNIT_ASSERT(m_polls.size() == 1);
        CPPUNIT_ASSERT(has_event(core::event_code::late_start_executed));
    }

    // An incarnation is numbered by the wall time of its start. Guards against
    // a worker that is ignored for good because its clock was set back before
    // it restarted.
    void incarnation_that_began_after_the_clock_was_set_back_is_used()
    {
        m_agent->registered(profile("w1", 8000, 5));
        grant(1);
        CPPUNIT_ASSERT(!m_agent->registered(profile("w1", 8000, 3)));
        auto answered = list_at(10, {});
        answered.life = core::incarnation(3);
        answer(m_syncs, std::optional(answered));
        grant(1);
        m_syncs.clear();
        CPPUNIT_ASSERT(!m_agent->registered(profile("w1", 8000, 2)));
        CPPUNIT_ASSERT(m_agent->registered(profile("w1", 8000, 3)));
        CPPUNIT_ASSERT(last_report().profile.life > core::incarnation(5));
        CPPUNIT_ASSERT(m_agent->registered(profile("w1", 8000, 3)));
        answer(m_syncs, std::optional(answered));
        CPPUNIT_ASSERT(last_report().runs.has_value());
        CPPUNIT_ASSERT(!last_report().silent);
        // A delayed registration of the incarnation before.
        CPPUNIT_ASSERT(!m_agent->registered(profile("w1", 8000, 2)));
    }

    // The notice that a worker ends names only its id. Guards against one that
    // is handled after the next incarnation has registered, and makes the
    // worker unusable until its next restart.
    void late_notice_of_the_earlier_incarnation_is_ignored()
    {
        m_agent->registered(draining_profile(1));
        grant(1);
        m_polls.clear();
        m_agent->registered(profile("w1", 8000, 2));
        m_agent->unregistered(core::worker_id("w1"));
        grant(2);
        CPPUNIT_ASSERT(m_reports.empty() || !last_report().left);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_polls.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_agent_restart_test);

} // namespace turmericswitch::workflow
