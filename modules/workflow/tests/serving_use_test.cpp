#include "workflow/dispatch/serving_use_estimate.hpp"
#include "workflow_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <vector>

namespace turmericswitch::workflow
{

using namespace testing;

/// Guards against a wrong estimate of the spare CPU of a worker, on which the
/// placement of best-effort tasks depends.
class serving_use_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(serving_use_test);
    CPPUNIT_TEST(tasks_that_need_less_than_they_request_are_no_shortage);
    CPPUNIT_TEST(single_task_shows_no_shortage);
    CPPUNIT_TEST(shortage_slows_all_tasks_alike);
    CPPUNIT_TEST(slowed_and_new_tasks_are_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: wide stages whose tasks need two thirds of the CPU that they
    // request, beside tasks that need all of it. The estimate took the sum of
    // their use for a shortage and rose to its upper bound on most workers, so
    // that hundreds of tasks waited while processors were idle.
    void tasks_that_need_less_than_they_request_are_no_shortage()
    {
        CPPUNIT_ASSERT_EQUAL(lowest, percent_after({67, 66, 99}));
    }

    void single_task_shows_no_shortage()
    {
        CPPUNIT_ASSERT_EQUAL(initial, percent_after({66}));
    }

    void shortage_slows_all_tasks_alike()
    {
        CPPUNIT_ASSERT_EQUAL(highest, percent_after({58, 60, 62}));
    }

    void slowed_and_new_tasks_are_ignored()
    {
        m_slowed = {run_of(0), run_of(1)};
        CPPUNIT_ASSERT_EQUAL(initial, percent_after({30, 40}));
        serving_use_estimate estimate;
        estimate.update({}, sample_of({10, 10}), none_slowed);
        CPPUNIT_ASSERT_EQUAL(initial, estimate.percent());
    }

private:
    static constexpr std::int64_t lowest = 30;
    static constexpr std::int64_t initial = 60;
    static constexpr std::int64_t highest = 100;

    static bool none_slowed(core::task_run const&)
    {
        return false;
    }

    static core::task_run run_of(std::uint32_t index)
    {
        return {{core::workflow_id("w"), 0, 0, index}, core::attempt_number(1)};
    }

    static colocation_sample sample_of(std::vector<std::int64_t> const& used)
    {
        colocation_sample sample;
        sample.capacity = core::millicores(64000);
        for (std::uint32_t i = 0; i < used.size(); ++i)
        {
            sample.best_effort.push_back({run_of(i),
                                          "batch",
                                          core::millicores(100),
                                          core::millicores(used[i])});
        }
        return sample;
    }

    /// @param used CPU that each task uses, in percent of its request.
    std::int64_t percent_after(std::vector<std::int64_t> const& used) const
    {
        constexpr int samples = 20;
        serving_use_estimate estimate;
        for (int i = 0; i < samples; ++i)
        {
            estimate.update(sample_of(used),
                            sample_of(used),
                            [this](core::task_run const& run)
                            { return m_slowed.contains(run); });
        }
        return estimate.percent();
    }

    std::set<core::task_run> m_slowed;
};

CPPUNIT_TEST_SUITE_REGISTRATION(serving_use_test);

} // namespace turmericswitch::workflow
