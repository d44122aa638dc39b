#include "node/catch_up_monitor.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::control::testing
{

/// Guards against a learner that stays without entries and is not reported,
/// against a flooded log, and against reports of learners that make progress.
class catch_up_monitor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(catch_up_monitor_test);
    CPPUNIT_TEST(reports_once_a_second);
    CPPUNIT_TEST(progress_ends_the_reports);
    CPPUNIT_TEST(complete_learner_is_not_reported);
    CPPUNIT_TEST(time_counts_from_the_first_missing_entry);
    CPPUNIT_TEST(voter_is_not_reported);
    CPPUNIT_TEST(reset_begins_anew);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_monitor.reset();
        m_now = core::time_point(std::chrono::minutes(1));
        consensus::replication_status learner;
        learner.member = core::member_id(4);
        learner.match = core::log_index(10);
        learner.last_answer = m_now;
        m_view = {core::member_id(1), {}, core::log_index(30), {learner}};
    }

    void reports_once_a_second()
    {
        CPPUNIT_ASSERT(m_monitor.check(m_view, m_now).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), reports_within(980));
        m_now += std::chrono::milliseconds(20);
        CPPUNIT_ASSERT(
            m_monitor.check(m_view, m_now) ==
            (std::vector<stalled_learner>{{core::member_id(4),
                                           core::log_index(10),
                                           20,
                                           std::chrono::seconds(1),
                                           std::chrono::seconds(1)}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), reports_within(3'500));
    }

    void progress_ends_the_reports()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports_within(1'500));
        m_view.others[0].match = core::log_index(11);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), reports_within(1'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports_within(500));
    }

    void complete_learner_is_not_reported()
    {
        m_view.others[0].match = m_view.last_index;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), reports_within(5'000));
    }

    // Guards against a report of a learner that was complete for long and lacks
    // an entry since one tick.
    void time_counts_from_the_first_missing_entry()
    {
        m_view.others[0].match = m_view.last_index;
        reports_within(5'000);
        m_view.last_index = core::log_index(31);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), reports_within(980));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports_within(100));
    }

    void voter_is_not_reported()
    {
        m_view.others[0].is_voter = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), reports_within(5'000));
    }

    // Guards against times of an earlier leadership.
    void reset_begins_anew()
    {
        reports_within(980);
        m_monitor.reset();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), reports_within(1'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reports_within(20));
    }

private:
    /// Checks every 20 ms.
    std::size_t reports_within(int milliseconds)
    {
        std::size_t count = 0;
        for (int passed = 0; passed < milliseconds; passed += 20)
        {
            m_now += std::chrono::milliseconds(20);
            count += m_monitor.check(m_view, m_now).size();
        }
        return count;
    }

    catch_up_monitor m_monitor;
    consensus::group_view m_view;
    core::time_point m_now;
};

CPPUNIT_TEST_SUITE_REGISTRATION(catch_up_monitor_test);

} // namespace turmericswitch::control::testing
