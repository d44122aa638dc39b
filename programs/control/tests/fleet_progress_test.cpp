#include "leader/fleet_progress.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace turmericswitch::control
{

using namespace std::chrono_literals;

class fleet_progress_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_progress_test);
    CPPUNIT_TEST(shares_are_of_the_workers_with_runs);
    CPPUNIT_TEST(event_is_due_once);
    CPPUNIT_TEST_SUITE_END();

    static core::worker_id worker(int number)
    {
        return core::worker_id(std::to_string(number));
    }

public:
    // Guards against times that idle or repeatedly reporting workers shorten.
    void shares_are_of_the_workers_with_runs()
    {
        core::time_point const began(1h);
        fleet_progress progress(began, {worker(1), worker(2), worker(3)});
        progress.reported(began + 1ms, worker(1));
        progress.reported(began + 2ms, worker(1));
        progress.reported(began + 3ms, worker(9));
        CPPUNIT_ASSERT(!progress.time_to(50));
        progress.reported(began + 4ms, worker(2));
        progress.reported(began + 400ms, worker(3));
        CPPUNIT_ASSERT(progress.time_to(50) == core::duration(4ms));
        CPPUNIT_ASSERT(progress.time_to(90) == core::duration(400ms));
        CPPUNIT_ASSERT(!fleet_progress(began, {}).time_to(100));
        auto const fields = progress.event(core::term(2), 3).fields;
        CPPUNIT_ASSERT(fields[2] == core::number_field("known", 4));
        CPPUNIT_ASSERT(fields[4] == core::number_field("known_300ms", 3));
        // Guards against names that are destroyed before the event is written.
        CPPUNIT_ASSERT(fields[6] == core::time_field("to_50_ms", 4ms));
        CPPUNIT_ASSERT(fields[8] == core::time_field("to_100_ms", 400ms));
    }

    void event_is_due_once()
    {
        core::time_point const began(1h);
        fleet_progress progress(began, {});
        CPPUNIT_ASSERT(!progress.take_due(began + 4s));
        CPPUNIT_ASSERT(progress.take_due(began + 5s));
        CPPUNIT_ASSERT(!progress.take_due(began + 6s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_progress_test);

} // namespace turmericswitch::control
