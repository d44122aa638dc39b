#include "telemetry/log/line_limiter.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

namespace turmericswitch::telemetry
{

class line_limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(line_limiter_test);
    CPPUNIT_TEST(burst_of_one_event_leaves_room_for_others);
    CPPUNIT_TEST(new_second_opens_the_limit);
    CPPUNIT_TEST(every_line_of_every_thread_is_written_or_counted);
    CPPUNIT_TEST(lines_about_drops_are_never_dropped);
    CPPUNIT_TEST_SUITE_END();

    using code = core::event_code;

    // Guards against an event that fills the log and hides the others.
    void burst_of_one_event_leaves_room_for_others()
    {
        line_limiter limits;
        limits.set_limit(3);
        int written = 0;
        for (int i = 0; i < 10; ++i)
        {
            written += limits.allow(code::run_placed, 5) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(3, written);
        CPPUNIT_ASSERT(limits.allow(code::run_ended, 5));
        CPPUNIT_ASSERT(limits.allow_text(5));
        auto const dropped = limits.take_dropped();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dropped.size());
        CPPUNIT_ASSERT(dropped.front().what == "run_placed");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, dropped.front().count);
        CPPUNIT_ASSERT(limits.take_dropped().empty());
    }

    void new_second_opens_the_limit()
    {
        line_limiter limits;
        limits.set_limit(1);
        CPPUNIT_ASSERT(limits.is_new_second(8));
        CPPUNIT_ASSERT(limits.allow(code::run_placed, 8));
        CPPUNIT_ASSERT(!limits.allow(code::run_placed, 8));
        CPPUNIT_ASSERT(!limits.is_new_second(8));
        CPPUNIT_ASSERT(limits.is_new_second(9));
        CPPUNIT_ASSERT(limits.allow(code::run_placed, 9));
    }

    // Guards against a race that lets lines through or loses their count.
    void every_line_of_every_thread_is_written_or_counted()
    {
        constexpr std::uint32_t limit = 100;
        constexpr int per_thread = 1000;
        line_limiter limits;
        limits.set_limit(limit);
        std::atomic<std::uint64_t> written = 0;
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i)
        {
            threads.emplace_back(
                [&]
                {
                    for (int n = 0; n < per_thread; ++n)
                    {
                        written += limits.allow(code::call_answered, 1) ? 1 : 0;
                    }
                });
        }
        for (auto& thread : threads)
        {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{limit}, written.load());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4 * per_thread - limit},
                             limits.take_dropped().front().count);
    }

    void lines_about_drops_are_never_dropped()
    {
        line_limiter limits;
        limits.set_limit(1);
        CPPUNIT_ASSERT(limits.allow(code::lines_dropped, 1));
        CPPUNIT_ASSERT(limits.allow(code::lines_dropped, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_limiter_test);

} // namespace turmericswitch::telemetry
