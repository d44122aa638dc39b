#include "overload/overload.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::overload
{

namespace
{

eviction_candidate
candidate(std::uint32_t index, std::uint32_t priority, prospect expected)
{
    eviction_candidate result;
    result.run.task.index = index;
    result.priority = priority;
    result.expected = expected;
    result.cpu = core::millicores(1000);
    result.since_checkpoint = std::chrono::seconds(1);
    result.checkpoints = true;
    return result;
}

} // namespace

class victim_choice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(victim_choice_test);
    CPPUNIT_TEST(work_that_loses_least_is_evicted_first);
    CPPUNIT_TEST(equal_and_protected_work_is_never_evicted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against losing work that is worth more than necessary.
    void work_that_loses_least_is_evicted_first()
    {
        auto saved = candidate(4, 1, prospect::late);
        saved.since_checkpoint = std::chrono::milliseconds(10);
        auto const victims =
            choose_victims({1, prospect::in_time},
                           {candidate(1, 2, prospect::in_time),
                            candidate(2, 1, prospect::late),
                            saved,
                            candidate(3, 1, prospect::hopeless)});
        std::vector<std::uint32_t> order;
        order.reserve(victims.size());
        for (auto const& each : victims)
        {
            order.push_back(each.run.task.index);
        }
        CPPUNIT_ASSERT((order == std::vector<std::uint32_t>{3, 4, 2, 1}));
    }

    // Guards against broken gangs, lost work, and jobs that evict each other.
    void equal_and_protected_work_is_never_evicted()
    {
        auto gang = candidate(1, 2, prospect::hopeless);
        gang.is_gang = true;
        auto unsaved = candidate(2, 2, prospect::hopeless);
        unsaved.checkpoints = false;
        auto evicted = candidate(3, 1, prospect::late);
        evicted.was_evicted = true;
        CPPUNIT_ASSERT(choose_victims({1, prospect::in_time},
                                      {gang,
                                       unsaved,
                                       evicted,
                                       candidate(4, 1, prospect::in_time),
                                       candidate(5, 0, prospect::hopeless)})
                           .empty());
        CPPUNIT_ASSERT(choose_victims({0, prospect::late},
                                      {candidate(6, 2, prospect::late)})
                           .empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(victim_choice_test);

} // namespace turmericswitch::overload
