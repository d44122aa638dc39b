#include "leader/leader_watch_hub.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace turmericswitch::control
{

using namespace std::chrono_literals;

class leader_watch_hub_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leader_watch_hub_test);
    CPPUNIT_TEST(election_answers_held_calls_at_once);
    CPPUNIT_TEST(deposed_leader_holds_calls);
    CPPUNIT_TEST(reports_of_a_large_fleet_are_spread);
    CPPUNIT_TEST(waits_end_in_time);
    CPPUNIT_TEST(stopping_instance_holds_no_call);
    CPPUNIT_TEST_SUITE_END();

    void watch(std::uint64_t known)
    {
        m_hub.watch(m_now,
                    {core::term(known), 1min},
                    [this](core::leader_watch_answer const& answer)
                    { m_answers.push_back(answer); });
    }

    core::time_point m_now{1h};
    leader_watch_hub m_hub;
    std::vector<core::leader_watch_answer> m_answers;

public:
    void setUp() override
    {
        m_hub = {};
        m_answers.clear();
    }

    void election_answers_held_calls_at_once()
    {
        watch(1);
        watch(3);
        CPPUNIT_ASSERT(m_answers.empty());
        m_hub.leadership_began(core::term(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_answers.size());
        CPPUNIT_ASSERT(m_answers.front().code == core::result_code::ok);
        CPPUNIT_ASSERT(m_answers.front().leader_term == core::term(3));
        // A process that starts later learns the leader without a search.
        watch(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_answers.size());
    }

    // Guards against an announcement of a leader that has lost leadership.
    void deposed_leader_holds_calls()
    {
        m_hub.leadership_began(core::term(3));
        m_hub.leadership_ended();
        watch(0);
        CPPUNIT_ASSERT(m_answers.empty());
        m_hub.leadership_began(core::term(5));
        CPPUNIT_ASSERT(m_answers.front().leader_term == core::term(5));
    }

    // Guards against a leader that 660 reports overload, and against a spread
    // that delays the small fleet.
    void reports_of_a_large_fleet_are_spread()
    {
        for (int i = 0; i < 57; ++i)
        {
            watch(0);
        }
        m_hub.leadership_began(core::term(1));
        CPPUNIT_ASSERT(m_answers.back().report_within < 20ms);
        for (int i = 0; i < 2000; ++i)
        {
            watch(1);
        }
        m_hub.leadership_began(core::term(2));
        CPPUNIT_ASSERT(m_answers.back().report_within == 200ms);
    }

    void waits_end_in_time()
    {
        watch(0);
        m_hub.tick(m_now + 59s);
        CPPUNIT_ASSERT(m_answers.empty());
        m_hub.tick(m_now + 60s);
        CPPUNIT_ASSERT(m_answers.front().code == core::result_code::not_leader);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_hub.held());
    }

    // Guards against a stop that waits for calls that nothing ends.
    void stopping_instance_holds_no_call()
    {
        watch(0);
        m_hub.close();
        watch(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_answers.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_watch_hub_test);

} // namespace turmericswitch::control
