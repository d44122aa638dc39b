#include "overload/overload.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>

namespace turmericswitch::overload
{

namespace
{

core::task_run run(std::uint32_t index)
{
    return {{core::workflow_id("job"), 0, 0, index}, core::attempt_number(1)};
}

/// A worker that divides its CPU among the tasks in proportion to what they
/// could use.
class sharing_worker
{
public:
    explicit sharing_worker(std::size_t tasks)
    {
        for (std::uint32_t i = 0; i < tasks; ++i)
        {
            m_tasks.push_back({run(i), i, core::millicores(4000), {}});
        }
    }

    /// Takes a sample every half second.
    ///
    /// @param useful Part of its request that each task can use, in percent.
    void run_for(int samples, std::int64_t cpu, std::int64_t useful = 100)
    {
        for (int i = 0; i < samples; ++i)
        {
            std::int64_t wanted = 0;
            for (auto const& task : m_tasks)
            {
                wanted += want(task, useful);
            }
            for (auto& task : m_tasks)
            {
                task.used = core::millicores(wanted > cpu ? want(task, useful) *
                                                                cpu / wanted
                                                          : want(task, useful));
            }
            m_now += std::chrono::milliseconds(500);
            m_sharing.update(m_now, core::millicores(32'000), m_tasks);
        }
    }

    std::int64_t used() const
    {
        std::int64_t total = 0;
        for (auto const& task : m_tasks)
        {
            total += task.used.value();
        }
        return total;
    }

    std::vector<std::uint32_t> paces() const
    {
        std::vector<std::uint32_t> result;
        for (auto const& task : m_tasks)
        {
            result.push_back(m_sharing.pace(task.run));
        }
        return result;
    }

    std::vector<sharing_task> m_tasks;

private:
    std::int64_t want(sharing_task const& task, std::int64_t useful) const
    {
        return std::min<std::int64_t>(task.need.value() *
                                          m_sharing.pace(task.run) / 100,
                                      task.need.value() * useful / 100);
    }

    processor_sharing m_sharing;
    core::time_point m_now = core::time_point(std::chrono::seconds(100));
};

} // namespace

class processor_share_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(processor_share_test);
    CPPUNIT_TEST(shortage_runs_the_best_ranked_at_full_pace);
    CPPUNIT_TEST(enough_cpu_slows_nothing);
    CPPUNIT_TEST(free_capacity_is_given_back);
    CPPUNIT_TEST(rising_load_of_services_keeps_the_cpu_in_use);
    CPPUNIT_TEST(tasks_that_use_less_than_they_request_keep_their_cpu);
    CPPUNIT_TEST(task_without_rank_is_never_slowed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks that all run at half speed and end late.
    void shortage_runs_the_best_ranked_at_full_pace()
    {
        sharing_worker worker(8);
        worker.run_for(20, 16'000);
        auto const paces = worker.paces();
        CPPUNIT_ASSERT_EQUAL(
            3L, std::count(paces.begin(), paces.begin() + 3, 100U));
        CPPUNIT_ASSERT_EQUAL(2L,
                             std::count(paces.begin() + 6, paces.end(), 0U));
        CPPUNIT_ASSERT(worker.used() >= 15'900);
    }

    // Guards against paces on a calm day.
    void enough_cpu_slows_nothing()
    {
        sharing_worker worker(8);
        worker.run_for(20, 29'000);
        CPPUNIT_ASSERT(worker.paces() == std::vector<std::uint32_t>(8, 100));
    }

    // Guards against CPU that stays unused because of the paces.
    void free_capacity_is_given_back()
    {
        sharing_worker worker(8);
        worker.run_for(20, 16'000);
        worker.run_for(12, 32'000);
        CPPUNIT_ASSERT(worker.paces() == std::vector<std::uint32_t>(8, 100));
        // Ended tasks leave their CPU to the others.
        worker.run_for(20, 16'000);
        worker.m_tasks.erase(worker.m_tasks.begin(),
                             worker.m_tasks.begin() + 4);
        worker.run_for(2, 16'000);
        CPPUNIT_ASSERT(worker.used() >= 15'900);
    }

    // Guards against paces that follow a changing capacity too late.
    void rising_load_of_services_keeps_the_cpu_in_use()
    {
        sharing_worker worker(8);
        for (std::int64_t cpu : {24'000, 20'000, 16'000, 12'000, 8000, 16'000})
        {
            worker.run_for(8, cpu);
            CPPUNIT_ASSERT(worker.used() * 100 >= cpu * 95);
        }
    }

    // Guards against slowing tasks for others that can't use the CPU.
    void tasks_that_use_less_than_they_request_keep_their_cpu()
    {
        sharing_worker worker(8);
        std::int64_t used = 0;
        constexpr int samples = 200;
        for (int i = 0; i < samples; ++i)
        {
            worker.run_for(1, 32'000, 50);
            used += worker.used();
        }
        CPPUNIT_ASSERT(used >= 16'000LL * samples * 9 / 10);
    }

    // Guards against slowing long-running tasks, which have no rank.
    void task_without_rank_is_never_slowed()
    {
        sharing_worker worker(8);
        worker.m_tasks[7].rank.reset();
        worker.run_for(20, 8000);
        CPPUNIT_ASSERT_EQUAL(100U, worker.paces()[7]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(processor_share_test);

} // namespace turmericswitch::overload
