#include "workflow/dispatch/dispatcher.hpp"
#include "workflow_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <memory>

namespace turmericswitch::workflow
{

using namespace testing;

namespace
{

constexpr core::duration sample_interval = std::chrono::milliseconds(500);
/// Tail latencies of the service without neighbours; its target is 100 ms.
constexpr double low_tail_ms = 20;
constexpr double high_tail_ms = 78;
/// CPU that the batch task uses at full pace.
constexpr std::int64_t batch_use = 2000;
/// Covers the time between two samples and between two searches for tasks to
/// evict.
constexpr core::duration decision_time = std::chrono::milliseconds(1500);

core::stage_description serving_stage()
{
    auto result = stage(1, 4000);
    result.behaviour.long_running = true;
    result.behaviour.target_latency = std::chrono::milliseconds(100);
    result.behaviour.image = "serving";
    return result;
}

core::stage_description batch_stage(bool checkpoints)
{
    auto result = stage(1, batch_use);
    result.behaviour.uses_spare_cpu = true;
    result.behaviour.checkpoints = checkpoints;
    result.behaviour.image = "batch";
    return result;
}

} // namespace

/// Load: services on nearly every worker, and wide stages of best-effort tasks
/// beside them. In each stage some tasks are stopped for a service, and the
/// stage ends with its last task.
class eviction_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(eviction_test);
    CPPUNIT_TEST(stalled_task_with_checkpoints_moves_at_once);
    CPPUNIT_TEST(stalled_task_without_checkpoints_moves);
    CPPUNIT_TEST(stalled_task_of_an_earlier_leader_is_not_restarted_early);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_table = {};
        m_events.clear();
        m_now = at_ms(1'000'000);
        m_started = m_now;
        elect(1);
    }

    void stalled_task_with_checkpoints_moves_at_once()
    {
        start(batch_stage(true));
        run_for(std::chrono::seconds(6), low_tail_ms);
        stall();
        run_for(decision_time, high_tail_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, evictions());
    }

    // Guards against a task that stands still for tens of seconds beside a busy
    // service, while workers are free and its whole stage waits for it. It is
    // restarted elsewhere, but not while more work would be lost than time.
    void stalled_task_without_checkpoints_moves()
    {
        start(batch_stage(false));
        auto const placed = m_now;
        run_for(std::chrono::seconds(2), low_tail_ms);
        stall();
        auto const worked = m_now - placed;
        run_for(worked - sample_interval, high_tail_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, evictions());
        run_for(decision_time, high_tail_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, evictions());
    }

    // A new leader doesn't know when a run was placed. It must not discard the
    // work of hours because the task has stood still for a second.
    void stalled_task_of_an_earlier_leader_is_not_restarted_early()
    {
        start(batch_stage(false));
        run_for(std::chrono::seconds(5), low_tail_ms);
        elect(2);
        // The new leader learns the interference anew.
        run_for(std::chrono::seconds(6), low_tail_ms);
        stall();
        run_for(std::chrono::seconds(5), high_tail_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, evictions());
        run_for(std::chrono::seconds(20), high_tail_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, evictions());
    }

private:
    void elect(std::uint64_t fencing_token)
    {
        m_dispatcher = std::make_unique<dispatcher>(
            m_table,
            dispatch_options{
                {std::chrono::seconds(6), std::chrono::seconds(6)}},
            fencing_token,
            m_now,
            [this](core::event const& what) { m_events.push_back(what); });
    }

    /// Places a service and a batch task on w1.
    void start(core::stage_description const& batch)
    {
        m_table.submit(submission("s", {serving_stage()}), queue(), m_now);
        m_table.submit(submission("b", {batch}), queue(), m_now);
        report("w1", {});
        plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             m_table.held_on(core::worker_id("w1")).size());
    }

    /// Raises the service's tail until the batch task is stopped.
    void stall()
    {
        for (int i = 0; i < 20 && m_pace > 0; ++i)
        {
            run_for(sample_interval, high_tail_ms);
        }
        CPPUNIT_ASSERT_EQUAL(0U, m_pace);
    }

    void run_for(core::duration length, double tail_ms)
    {
        for (auto const end = m_now + length; m_now < end;)
        {
            m_now += sample_interval;
            core::worker_runs runs;
            core::running_task serving;
            serving.run = run_of("s", 0, 0);
            serving.load = disturbed(tail_ms);
            core::running_task batch;
            batch.run = run_of("b", 0, 0);
            batch.load = batch_use * m_pace / 100;
            runs.running = {batch, serving};
            report("w1", runs);
            report("w2", {});
            plan();
        }
    }

    void report(std::string const& worker, core::worker_runs runs)
    {
        core::runtime_report result;
        result.host = core::instance_id("host-" + worker);
        result.profile = profile(worker);
        result.clock = m_now - m_started + std::chrono::seconds(1);
        result.runs = std::move(runs);
        m_dispatcher->report(m_now, std::move(result));
        m_dispatcher->grant(core::worker_id(worker), core::incarnation(1));
        collect_paces(worker);
    }

    void collect_paces(std::string const& worker)
    {
        auto const orders = m_dispatcher->take_orders(
            m_now, core::worker_id(worker), core::incarnation(1));
        for (auto const& each : orders.paces)
        {
            if (each.run == run_of("b", 0, 0))
            {
                m_pace = each.percent;
            }
        }
    }

    void plan()
    {
        if (auto const command =
                m_dispatcher->plan({m_now, m_now, core::wall_time()}, {}))
        {
            m_table.progress(*command, m_now);
            m_dispatcher->applied(m_now, *command);
        }
    }

    /// @return Tail of the service beside the batch task, in milliseconds.
    std::int64_t disturbed(double tail_ms) const
    {
        return std::llround(tail_ms * std::exp(m_pace / 100.0));
    }

    std::size_t evictions() const
    {
        return static_cast<std::size_t>(std::count_if(
            m_events.begin(),
            m_events.end(),
            [](core::event const& each)
            { return each.code == core::event_code::run_evicted; }));
    }

    workflow_table m_table;
    core::time_point m_now;
    core::time_point m_started;
    /// Ordered pace of the batch task in percent.
    std::uint32_t m_pace = 100;
    std::vector<core::event> m_events;
    std::unique_ptr<dispatcher> m_dispatcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(eviction_test);

} // namespace turmericswitch::workflow
