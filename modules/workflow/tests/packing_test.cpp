#include "dispatcher_fixture.hpp"
#include "planning_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::workflow
{

using namespace testing;

namespace
{

core::stage_description long_running(std::uint32_t tasks,
                                     std::int64_t millicores)
{
    auto result = stage(tasks, millicores);
    result.behaviour.long_running = true;
    return result;
}

fragmentation fragmentation_of(std::vector<candidate_worker> const& workers,
                               wide_requests const& wide)
{
    fragmentation result;
    for (auto const& each : workers)
    {
        result.add(each, wide);
    }
    return result;
}

} // namespace

/// Packing of long-running tasks, and capacity that is kept for wide ones.
class packing_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(packing_test);
    CPPUNIT_TEST(wide_request_behind_a_fragmented_fleet);
    CPPUNIT_TEST(wide_request_behind_a_stream_of_short_tasks);
    CPPUNIT_TEST(serving_task_near_its_target_gets_no_further_neighbour);
    CPPUNIT_TEST(long_running_stage_on_few_racks);
    CPPUNIT_TEST(fragmentation_of_a_fleet_with_mixed_capacity);
    CPPUNIT_TEST(task_larger_than_each_worker);
    CPPUNIT_TEST(task_for_a_label_that_no_worker_has);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        dispatcher_fixture::setUp();
        m_wide = {};
    }

    // Long-running tasks on the emptiest workers leave each one partly free and
    // none with room for a wide task.
    void wide_request_behind_a_fragmented_fleet()
    {
        auto const narrow = long_running(12, 6000);
        auto const wide = long_running(2, 20000);
        std::vector const jobs{pending("a", narrow, 12), pending("b", wide, 2)};
        auto even = four_workers();
        auto packed = four_workers();
        observe({jobs.back()}, packed);
        auto const placed_evenly = plan_stages(jobs, even, 200, no_tail);
        auto const placed_packed =
            plan_stages(jobs, packed, 200, no_tail, {&m_wide});
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, placed_evenly.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{14}, placed_packed.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                             fragmentation_of(even, m_wide).index_percent());
    }

    // Short tasks that start in whatever capacity becomes free would keep a
    // wide task waiting for ever.
    void wide_request_behind_a_stream_of_short_tasks()
    {
        auto const wide = long_running(1, 20000);
        auto const small = stage(9, 4000);
        auto workers = four_workers();
        for (auto& each : workers)
        {
            each.free.cpu = core::millicores(8000);
        }
        workers[0].long_running.cpu = core::millicores(16000);
        workers[2].free.cpu = core::millicores(12000);
        std::vector const jobs{pending("a", wide, 1), pending("b", small, 9)};
        observe(jobs, workers);
        auto const placed = plan_stages(jobs, workers, 200, no_tail, {&m_wide});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_on(placed, "w3"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, placed.size());
        CPPUNIT_ASSERT(!workers[2].held.has_value());
    }

    // Packing must not raise the tail of a serving task by more neighbours.
    void serving_task_near_its_target_gets_no_further_neighbour()
    {
        auto const one = long_running(1, 4000);
        auto workers = four_workers();
        workers.front().free.cpu = core::millicores(8000);
        workers.front().serving = 1;
        auto const tail = [](core::worker_id const& worker, cpu_by_image const&)
        { return worker.value() == "w1" ? 0.95 : 0.0; };
        auto const placed =
            plan_stages({pending("a", one, 1)}, workers, 200, tail, {&m_wide});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_on(placed, "w1"));
    }

    // The loss of one rack must not end a whole long-running stage.
    void long_running_stage_on_few_racks()
    {
        auto const four = long_running(4, 4000);
        auto workers = four_workers();
        auto const placed = plan_stages(
            {pending("a", four, 4)}, workers, 200, no_tail, {&m_wide});
        for (auto const& each : workers)
        {
            CPPUNIT_ASSERT(count_on(placed, each.worker.value()) <= 2);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, placed.size());
    }

    // Guards against an index that counts capacity of which no whole request
    // fits on one worker.
    void fragmentation_of_a_fleet_with_mixed_capacity()
    {
        auto const wide = long_running(1, 20000);
        auto workers = four_workers();
        workers[0].free.cpu = core::millicores(19000);
        workers[1].free.cpu = core::millicores(21000);
        workers[2].free.cpu = core::millicores(0);
        workers[3].free.memory = core::byte_count(0);
        observe({pending("a", wide, 1)}, workers);
        auto const result = fragmentation_of(workers, m_wide);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{72000}, result.free.value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{20000}, result.usable.value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{27}, result.index_percent());
    }

    // Such a job waits for ever; its operator must learn why, once.
    void task_larger_than_each_worker()
    {
        m_table.submit(submission("a", {stage(1, 9000)}), queue(), m_now);
        report({});
        grant();
        plan();
        CPPUNIT_ASSERT(m_events.back().code !=
                       core::event_code::task_fits_nowhere);
        for (int i = 0; i < 3; ++i)
        {
            m_now += std::chrono::seconds(11);
            plan();
        }
        auto const& found = last_event(core::event_code::task_fits_nowhere);
        CPPUNIT_ASSERT(has_field(
            found,
            core::text_field("why",
                             "cpu needed 9000 m, largest worker has 8000 m")));
        CPPUNIT_ASSERT_EQUAL(
            std::ptrdiff_t{1},
            std::count_if(m_events.begin(),
                          m_events.end(),
                          [](core::event const& each) {
                              return each.code ==
                                     core::event_code::task_fits_nowhere;
                          }));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{1},
            m_dispatcher->counts(m_now, m_config).oversized_stages);
    }

    void task_for_a_label_that_no_worker_has()
    {
        auto labelled = stage(1);
        labelled.constraints.required_label = "gpu";
        report({});
        CPPUNIT_ASSERT_EQUAL(
            std::string("no worker of service labels has label gpu"),
            why_no_worker_fits(pending("a", labelled, 1),
                               m_dispatcher->fleet()));
        labelled.constraints.required_label = "plain";
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             why_no_worker_fits(pending("a", labelled, 1),
                                                m_dispatcher->fleet()));
    }

private:
    static std::vector<candidate_worker> four_workers()
    {
        return {candidate("w1", 32000),
                candidate("w2", 32000),
                candidate("w3", 32000),
                candidate("w4", 32000)};
    }

    void observe(std::vector<pending_stage> stages,
                 std::vector<candidate_worker>& workers)
    {
        m_wide.observe(m_now,
                       pointers_to<pending_stage const>(stages),
                       pointers_to<candidate_worker>(workers));
    }

    wide_requests m_wide;
};

CPPUNIT_TEST_SUITE_REGISTRATION(packing_test);

} // namespace turmericswitch::workflow
