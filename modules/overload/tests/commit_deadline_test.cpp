#include "overload/admit/commit_deadline.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::overload
{

using std::chrono::milliseconds;

class commit_deadline_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(commit_deadline_test);
    CPPUNIT_TEST(submission_expires_when_a_commit_would_end_too_late);
    CPPUNIT_TEST(estimate_is_bounded_and_forgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against commands that commit after their caller has given up,
    // because the submission waited for a leader or in front of it; and against
    // refusals of calls from an earlier release, which sends no time.
    void submission_expires_when_a_commit_would_end_too_late()
    {
        auto const answer_by = m_now + milliseconds(50);
        CPPUNIT_ASSERT(!find_expired(m_now, answer_by, milliseconds(50)));
        auto const expired = find_expired(m_now, answer_by, milliseconds(51));
        CPPUNIT_ASSERT(expired && expired->time_left == milliseconds(50));
        CPPUNIT_ASSERT(find_expired(m_now + milliseconds(70), answer_by, {}));
        CPPUNIT_ASSERT(!find_expired(m_now, {}, std::chrono::hours(1)));
    }

    // Guards against a leader that refuses callers with time left after a
    // stall, and without end, because a refused submission commits nothing.
    void estimate_is_bounded_and_forgotten()
    {
        commit_time_estimate estimate;
        estimate.add(m_now, std::chrono::seconds(30));
        CPPUNIT_ASSERT(estimate.at(m_now) < milliseconds(60));
        for (int i = 0; i < 100; ++i)
        {
            estimate.add(m_now, std::chrono::seconds(30));
        }
        CPPUNIT_ASSERT(estimate.at(m_now) > milliseconds(290));
        CPPUNIT_ASSERT(estimate.at(m_now) <= commit_time_estimate::max);
        auto const later =
            m_now + commit_time_estimate::max_age + milliseconds(1);
        CPPUNIT_ASSERT(estimate.at(later) == commit_time_estimate::initial);
    }

private:
    core::time_point m_now{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(commit_deadline_test);

} // namespace turmericswitch::overload
