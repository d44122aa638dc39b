#include "shared/control_link/leader_watch.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace turmericswitch::shared
{

using namespace std::chrono_literals;

class leader_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leader_watch_test);
    CPPUNIT_TEST(each_member_has_one_call);
    CPPUNIT_TEST(earlier_and_repeated_terms_are_ignored);
    CPPUNIT_TEST(reports_are_spread_within_the_leaders_interval);
    CPPUNIT_TEST(ended_wait_is_renewed_without_a_tight_loop);
    CPPUNIT_TEST(lost_calls_back_off_and_recover);
    CPPUNIT_TEST(old_release_is_rarely_asked);
    CPPUNIT_TEST(removed_member_announces_nothing);
    CPPUNIT_TEST_SUITE_END();

    static core::leader_watch_answer
    announcement(std::uint64_t led, core::duration within = core::duration{})
    {
        return {core::result_code::ok, core::term(led), within};
    }

    std::vector<leader_watch_call> advance(core::duration time)
    {
        m_now += time;
        return m_watch.take_due(m_now);
    }

    core::endpoint m_first{"10.0.0.1", 1};
    core::endpoint m_second{"10.0.0.2", 1};
    core::time_point m_now{1h};
    leader_watch m_watch{core::seeded_random(1)};

public:
    void setUp() override
    {
        m_watch = leader_watch(core::seeded_random(1));
        m_watch.set_members(m_now, {m_first, m_second});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, advance(0s).size());
    }

    // Guards against a member without a call, whose election would not be
    // noticed, and against several calls to one member.
    void each_member_has_one_call()
    {
        CPPUNIT_ASSERT(advance(1h).empty());
        CPPUNIT_ASSERT(!m_watch.next_due());
        m_watch.set_members(m_now, {m_first, m_second, {"10.0.0.3", 1}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, advance(0s).size());
    }

    // Guards against a switch back to a deposed leader whose announcement is
    // late, and against two switches for one leader.
    void earlier_and_repeated_terms_are_ignored()
    {
        auto const announced =
            m_watch.answered(m_now, m_first, announcement(7));
        CPPUNIT_ASSERT(announced ==
                       (leader_announcement{m_first, core::term(7), {}}));
        CPPUNIT_ASSERT(!m_watch.answered(m_now, m_second, announcement(6)));
        auto const renewed = advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, renewed.size());
        CPPUNIT_ASSERT(renewed.front().request.known == core::term(7));
        CPPUNIT_ASSERT(!m_watch.answered(m_now, m_first, announcement(7)));
        CPPUNIT_ASSERT(m_watch.answered(m_now, m_second, announcement(8)));
    }

    // Guards against 660 reports that arrive at a new leader at once.
    void reports_are_spread_within_the_leaders_interval()
    {
        core::duration least = 1s;
        core::duration most = 0s;
        for (std::uint64_t led = 1; led <= 100; ++led)
        {
            auto const announced =
                m_watch.answered(m_now, m_first, announcement(led, 200ms));
            least = std::min(least, announced->report_after);
            most = std::max(most, announced->report_after);
            advance(1s);
        }
        CPPUNIT_ASSERT(least < 20ms && most > 180ms && most <= 200ms);
    }

    // Guards against a process that asks again as fast as the network allows,
    // and against members that are not asked again.
    void ended_wait_is_renewed_without_a_tight_loop()
    {
        core::leader_watch_answer ended;
        ended.code = core::result_code::not_leader;
        CPPUNIT_ASSERT(!m_watch.answered(m_now, m_first, ended));
        CPPUNIT_ASSERT(advance(100ms).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, advance(400ms).size());
        m_now += 1min;
        m_watch.answered(m_now, m_first, ended);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, advance(0s).size());
    }

    // Guards against a restarted member that is not watched when it is elected,
    // and against reconnects that cost much while it is down.
    void lost_calls_back_off_and_recover()
    {
        std::size_t calls = 0;
        for (int second = 0; second < 60; ++second)
        {
            m_watch.failed(m_now, m_first, core::result_code::peer_unreachable);
            calls += advance(1s).size();
        }
        CPPUNIT_ASSERT(calls >= 15 && calls <= 45);
        m_watch.failed(m_now, m_first, core::result_code::peer_unreachable);
        CPPUNIT_ASSERT(*m_watch.next_due() <= m_now + 4s);
    }

    void old_release_is_rarely_asked()
    {
        m_watch.failed(m_now, m_first, core::result_code::unknown_path);
        CPPUNIT_ASSERT(*m_watch.next_due() == m_now + 1min);
    }

    void removed_member_announces_nothing()
    {
        m_watch.set_members(m_now, {m_second});
        CPPUNIT_ASSERT(!m_watch.answered(m_now, m_first, announcement(9)));
        CPPUNIT_ASSERT(!m_watch.next_due());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_watch_test);

} // namespace turmericswitch::shared
