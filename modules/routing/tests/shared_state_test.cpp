#include "core/hooks/random_source.hpp"
#include "routing/routing.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace turmericswitch::routing
{

namespace
{

core::time_point at(core::duration since_start)
{
    return core::time_point(std::chrono::seconds(100) + since_start);
}

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

class shared_state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shared_state_test);
    CPPUNIT_TEST(concurrent_acquires_respect_the_limit);
    CPPUNIT_TEST(retries_stay_within_their_share_of_successes);
    CPPUNIT_TEST(ejects_after_consecutive_failures_and_probes_once);
    CPPUNIT_TEST(byte_budget_limits_the_rate);
    CPPUNIT_TEST(readers_see_published_tables);
    CPPUNIT_TEST_SUITE_END();

    // Guards against more outstanding attempts than the limit when threads
    // race.
    void concurrent_acquires_respect_the_limit()
    {
        backend_load load;
        std::atomic<int> taken{0};
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int t = 0; t < 4; ++t)
        {
            threads.emplace_back(
                [&]
                {
                    for (int i = 0; i < 1000; ++i)
                    {
                        taken += load.try_acquire(50) ? 1 : 0;
                    }
                });
        }
        for (auto& thread : threads)
        {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(50, taken.load());
    }

    void retries_stay_within_their_share_of_successes()
    {
        retry_budget budget;
        while (budget.try_spend())
        {
        }
        int retries = 0;
        for (int i = 0; i < 1000; ++i)
        {
            budget.earn(10);
            retries += budget.try_spend() ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(100, retries);
    }

    // Guards against several probes at once, and against an ejection that never
    // ends.
    void ejects_after_consecutive_failures_and_probes_once()
    {
        outlier_tracker tracker;
        for (int i = 0; i < 4; ++i)
        {
            tracker.failed(at(seconds(0)));
        }
        CPPUNIT_ASSERT(!tracker.ejected());
        tracker.failed(at(seconds(0)));
        CPPUNIT_ASSERT(tracker.ejected());
        CPPUNIT_ASSERT(!tracker.try_probe(at(milliseconds(999))));
        CPPUNIT_ASSERT(tracker.try_probe(at(seconds(1))));
        CPPUNIT_ASSERT(!tracker.try_probe(at(seconds(1))));
        tracker.failed(at(milliseconds(1100)));
        CPPUNIT_ASSERT(!tracker.try_probe(at(seconds(3))));
        CPPUNIT_ASSERT(tracker.try_probe(at(milliseconds(3100))));
        tracker.succeeded();
        CPPUNIT_ASSERT(!tracker.ejected());
    }

    void byte_budget_limits_the_rate()
    {
        region_byte_budget budget;
        core::byte_count const rate(1000);
        core::byte_count const half(500);
        int taken = 0;
        for (int i = 0; i < 100; ++i)
        {
            taken += budget.try_take(at(milliseconds(100 * i)), half, rate);
        }
        // 20 for 10 s at the rate, 2 for the burst, and one that overdraws.
        CPPUNIT_ASSERT(taken >= 19 && taken <= 23);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{500} * taken, budget.total().value());
    }

    // Guards against a thread that keeps using an old table after a newer one
    // is published.
    void readers_see_published_tables()
    {
        table_publisher publisher;
        table_reader reader(publisher);
        CPPUNIT_ASSERT(reader.get() == nullptr);
        auto table = std::make_shared<route_table>();
        table->revision = core::revision(3);
        publisher.publish(table);
        auto const held = reader.get();
        CPPUNIT_ASSERT(held->revision == core::revision(3));
        publisher.publish(std::make_shared<route_table>());
        CPPUNIT_ASSERT(reader.get()->revision == core::revision(0));
        CPPUNIT_ASSERT(held->revision == core::revision(3));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_state_test);

} // namespace turmericswitch::routing
