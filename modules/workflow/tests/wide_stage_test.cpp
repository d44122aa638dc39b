#include "core/hooks/random_source.hpp"
#include "planning_builder.hpp"
#include "workflow/dispatch/run_time_model.hpp"
#include "workflow/dispatch/stage_backlog.hpp"
#include "workflow/table/stage_tasks.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <malloc.h>

namespace turmericswitch::workflow
{

using namespace testing;
using core::run_end;

namespace
{

/// Largest numbers of tasks of a stage and of such stages of the test's jobs.
constexpr std::uint32_t wide = 100'000;
constexpr std::size_t wide_stages = 40;
/// Memory that a group of wide jobs may take.
constexpr std::int64_t max_growth_bytes = std::int64_t{16} << 20;

/// @return Bytes in use on the heap; 0 under a sanitizer that replaces it.
std::int64_t heap_bytes()
{
    return static_cast<std::int64_t>(::mallinfo2().uordblks);
}

std::vector<core::task_run> runs_in(run_list const& list)
{
    std::vector<core::task_run> runs;
    for (auto const& run : list)
    {
        runs.push_back(run);
    }
    return runs;
}

/// The same stage with one record for every task, as in earlier releases.
struct dense_stage
{
    std::vector<core::task_record> tasks;

    std::uint32_t done() const
    {
        return static_cast<std::uint32_t>(std::count_if(
            tasks.begin(),
            tasks.end(),
            [](core::task_record const& each) { return each.done; }));
    }
};

void expect_equal(core::stage_record const& stage, dense_stage const& dense)
{
    std::vector<std::uint32_t> never;
    for (auto const& range :
         never_placed(&stage, static_cast<std::uint32_t>(dense.tasks.size())))
    {
        CPPUNIT_ASSERT(range.first < range.end);
        for (auto i = range.first; i < range.end; ++i)
        {
            never.push_back(i);
        }
    }
    std::vector<std::uint32_t> expected;
    for (std::uint32_t i = 0; i < dense.tasks.size(); ++i)
    {
        CPPUNIT_ASSERT_EQUAL(dense.tasks[i].done, is_task_done(stage, i));
        if (dense.tasks[i] == core::task_record{})
        {
            expected.push_back(i);
        }
        else if (!dense.tasks[i].done)
        {
            auto const* const record = find_task_record(stage, i);
            CPPUNIT_ASSERT(record != nullptr && *record == dense.tasks[i]);
        }
    }
    CPPUNIT_ASSERT(never == expected);
    CPPUNIT_ASSERT_EQUAL(dense.done(), count_done(stage));
    for (std::size_t i = 1; i < stage.done.size(); ++i)
    {
        CPPUNIT_ASSERT(stage.done[i - 1].end < stage.done[i].first);
    }
}

} // namespace

/// Load: jobs with far more tasks than can run, up to the limits of the
/// interface. What a plan and the state cost must follow the tasks that run,
/// not those that wait or are done.
class wide_stage_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(wide_stage_test);
    CPPUNIT_TEST(ranges_hold_the_runs_of_a_list);
    CPPUNIT_TEST(records_agree_with_one_for_every_task);
    CPPUNIT_TEST(record_of_an_earlier_release_is_reduced);
    CPPUNIT_TEST(waiting_tasks_take_no_memory);
    CPPUNIT_TEST(done_tasks_take_no_memory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against runs that are lost, repeated or given another attempt when
    // ranges are joined and split.
    void ranges_hold_the_runs_of_a_list()
    {
        auto random = core::seeded_random(5);
        for (int round = 0; round < 200; ++round)
        {
            run_list list;
            std::vector<core::task_run> expected;
            for (std::uint32_t i = 0; i < 30; ++i)
            {
                auto const attempt =
                    static_cast<std::uint32_t>(core::random_below(random, 3));
                if (attempt > 0)
                {
                    list.push_back(run_of("a", 1, i, attempt));
                    expected.push_back(run_of("a", 1, i, attempt));
                }
            }
            for (int i = 0; i < 5 && !expected.empty(); ++i)
            {
                auto const victim =
                    expected[core::random_below(random, expected.size())];
                list.erase(victim);
                std::erase(expected, victim);
            }
            CPPUNIT_ASSERT(runs_in(list) == expected);
            CPPUNIT_ASSERT_EQUAL(expected.size(), list.size());
            CPPUNIT_ASSERT_EQUAL(expected.empty(), list.empty());
            list.set_attempt(core::attempt_number(7));
            CPPUNIT_ASSERT_EQUAL(expected.size(), list.size());
        }
    }

    // Guards against tasks that are forgotten or done twice because their
    // record was dropped, in any order of placements and ends.
    void records_agree_with_one_for_every_task()
    {
        auto random = core::seeded_random(6);
        for (int round = 0; round < 50; ++round)
        {
            core::stage_record stage;
            dense_stage dense{std::vector<core::task_record>(20)};
            for (int step = 0; step < 100; ++step)
            {
                auto const index =
                    static_cast<std::uint32_t>(core::random_below(random, 20));
                auto& expected = dense.tasks[index];
                if (expected.done)
                {
                    drop_done_record(stage, index);
                }
                else if (!expected.placed)
                {
                    expected.placed = true;
                    expected.attempt =
                        core::attempt_number(expected.attempt.value() + 1);
                    add_task_record(stage, index) = expected;
                }
                else
                {
                    expected.placed = false;
                    expected.done = core::random_below(random, 2) == 0;
                    *find_task_record(stage, index) = expected;
                    drop_done_record(stage, index);
                }
                expect_equal(stage, dense);
            }
        }
    }

    // Guards against a snapshot of an earlier release from which tasks are run
    // again or are lost.
    void record_of_an_earlier_release_is_reduced()
    {
        dense_stage dense{std::vector<core::task_record>(6)};
        dense.tasks[0].done = true;
        dense.tasks[1].done = true;
        dense.tasks[2].placed = true;
        dense.tasks[3].done = true;
        dense.tasks[3].placed = true;
        dense.tasks[4].failures = 1;
        core::stage_record stage;
        stage.tasks = dense.tasks;
        drop_needless_records(stage);
        expect_equal(stage, dense);
        CPPUNIT_ASSERT(stage.indices == (std::vector<std::uint32_t>{2, 3, 4}));
        CPPUNIT_ASSERT(stage.done == (std::vector<core::task_range>{{0, 2}}));
    }

    // Guards against a leader that goes over its memory with the first plan
    // after a submission with millions of tasks, and against its successors
    // that do so too: 20 jobs of 40 stages of 100,000 tasks.
    void waiting_tasks_take_no_memory()
    {
        auto const before = heap_bytes();
        submit_wide_jobs(20);
        candidate_worker worker = candidate("w1", 8000);
        for (int plan = 0; plan < 5; ++plan)
        {
            auto const pending = m_backlog.collect({m_now, m_now, {}});
            CPPUNIT_ASSERT_EQUAL(std::size_t{20} * wide_stages, pending.size());
            auto const placements =
                plan_stages(pending, {&worker}, 200, no_tail);
            CPPUNIT_ASSERT_EQUAL(std::size_t(plan == 0 ? 8 : 0),
                                 placements.size());
            core::workflow_progress command;
            command.placements = placements;
            m_table.progress(command, m_now);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20} * wide_stages * wide - 8,
                             waiting_tasks());
        CPPUNIT_ASSERT(heap_bytes() - before < max_growth_bytes);
    }

    // Guards against a state, and so a snapshot, that grows with each task that
    // ends, also while an early task of the stage still runs.
    void done_tasks_take_no_memory()
    {
        m_table.submit(submission("a", {stage(wide)}), queue(), m_now);
        auto const before = heap_bytes();
        progress({}, {placed(run_of("a", 0, 0))});
        constexpr std::uint32_t at_once = 200;
        for (std::uint32_t first = 1; first < wide; first += at_once)
        {
            auto const end = std::min(first + at_once, wide);
            core::workflow_progress command;
            for (auto i = first; i < end; ++i)
            {
                command.placements.push_back(placed(run_of("a", 0, i)));
            }
            m_table.progress(command, m_now);
            command.placements.clear();
            for (auto i = first; i < end; ++i)
            {
                command.ends.push_back(ended(run_of("a", 0, i), run_end::done));
            }
            m_table.progress(command, m_now);
        }
        auto const& record = m_table.find(core::workflow_id("a"))->stages[0];
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, record.tasks.size());
        CPPUNIT_ASSERT(record.done ==
                       (std::vector<core::task_range>{{1, wide}}));
        CPPUNIT_ASSERT(heap_bytes() - before < max_growth_bytes);
        progress({}, {placed(run_of("a", 0, 5, 9))});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_table.ignored_parts());
        progress({ended(run_of("a", 0, 0), run_end::done)}, {});
        CPPUNIT_ASSERT(m_table.find(core::workflow_id("a"))->state ==
                       core::workflow_state::completed);
    }

private:
    void submit_wide_jobs(std::size_t count)
    {
        std::vector<core::stage_description> const stages(wide_stages,
                                                          stage(wide));
        for (std::size_t i = 0; i < count; ++i)
        {
            m_table.submit(
                submission("j" + std::to_string(i), stages), queue(), m_now);
        }
    }

    std::uint64_t waiting_tasks()
    {
        m_backlog.collect({m_now, m_now, {}});
        return m_backlog.waiting_tasks();
    }

    void progress(std::vector<core::run_outcome> ends,
                  std::vector<core::run_placement> placements)
    {
        core::workflow_progress command;
        command.ends = std::move(ends);
        command.placements = std::move(placements);
        m_table.progress(command, m_now);
    }

    core::time_point m_now = at_ms(1'000);
    workflow_table m_table;
    run_time_model m_run_times;
    worker_fleet m_fleet{{}, {}, {}};
    stage_backlog m_backlog{m_table, m_run_times, m_fleet};
};

CPPUNIT_TEST_SUITE_REGISTRATION(wide_stage_test);

} // namespace turmericswitch::workflow
