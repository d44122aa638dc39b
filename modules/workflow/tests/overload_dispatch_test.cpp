#include "dispatcher_fixture.hpp"

namespace turmericswitch::workflow
{

using namespace testing;

/// The dispatcher with the decisions of the overload module.
class overload_dispatch_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(overload_dispatch_test);
    CPPUNIT_TEST(job_that_can_be_in_time_is_placed_before_an_older_late_one);
    CPPUNIT_TEST(jobs_that_can_all_be_in_time_keep_the_order_of_age);
    CPPUNIT_TEST(worse_ranked_task_is_slowed_when_cpu_is_short);
    CPPUNIT_TEST(task_of_better_priority_takes_the_place_of_a_worse_one);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an old job that makes all younger ones late although it
    // can't be in time itself.
    void job_that_can_be_in_time_is_placed_before_an_older_late_one()
    {
        elect_with_overload();
        submit_spare("a-old", 40, 10);
        submit_spare("b-young", 8, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("b-young"), first_placed());
    }

    // Guards against a changed order on a calm day.
    void jobs_that_can_all_be_in_time_keep_the_order_of_age()
    {
        elect_with_overload();
        submit_spare("b-old", 8, 10);
        m_now += std::chrono::milliseconds(1);
        submit_spare("a-young", 2, 10);
        CPPUNIT_ASSERT_EQUAL(std::string("b-old"), first_placed());
    }

    // Guards against tasks that all run at half speed.
    void worse_ranked_task_is_slowed_when_cpu_is_short()
    {
        elect_with_overload();
        submit_spare("a", 8, 10);
        submit_spare("b", 4, 10);
        first_placed();
        core::worker_runs runs;
        for (std::uint32_t i = 0; i < 8; ++i)
        {
            runs.running.push_back(running_at(run_of("a", 0, i), 600));
        }
        for (std::uint32_t i = 0; i < 4; ++i)
        {
            runs.running.push_back(running_at(run_of("b", 0, i), 600));
        }
        orders();
        for (int i = 0; i < 3; ++i)
        {
            m_now += std::chrono::milliseconds(600);
            report(runs);
            plan();
        }
        CPPUNIT_ASSERT(!orders().paces.empty());
        for (std::uint32_t i = 0; i < 4; ++i)
        {
            CPPUNIT_ASSERT(is_stopped(run_of("b", 0, i)));
        }
        CPPUNIT_ASSERT(!is_stopped(run_of("a", 0, 0)));
    }

    // Guards against urgent tasks that wait for the end of long ones, and
    // against evictions that go on without need.
    void task_of_better_priority_takes_the_place_of_a_worse_one()
    {
        elect_with_overload();
        auto described = stage(8);
        described.behaviour.checkpoints = true;
        auto batch = queue();
        batch.priority = 1;
        m_table.submit(submission("a", {described}), batch, m_now);
        first_placed();
        core::worker_runs runs;
        for (std::uint32_t i = 0; i < 8; ++i)
        {
            runs.running.push_back(running_at(run_of("a", 0, i), 1000));
        }
        report(runs);
        orders();
        m_table.submit(submission("b", {stage(1)}), queue(), m_now);
        plan();
        CPPUNIT_ASSERT(orders().stops.empty());
        for (int i = 0; i < 6; ++i)
        {
            m_now += std::chrono::milliseconds(300);
            report(runs);
            plan();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders().stops.size());
        last_event(core::event_code::run_preempted);
    }

private:
    void elect_with_overload()
    {
        dispatch_options options;
        options.overload.order = true;
        options.overload.pace = true;
        options.overload.preemption = true;
        m_dispatcher = std::make_unique<dispatcher>(
            m_table,
            options,
            core::term(7),
            m_now,
            [this](core::event const& what) { m_events.push_back(what); });
    }

    void submit_spare(std::string const& id,
                      std::uint32_t tasks,
                      std::int64_t estimate_s)
    {
        auto described = stage(tasks);
        described.estimate = std::chrono::seconds(estimate_s);
        described.behaviour.uses_spare_cpu = true;
        m_table.submit(submission(id, {described}), queue(), m_now);
    }

    /// @return True if a pace of 0 was decided for the run.
    bool is_stopped(core::task_run const& run) const
    {
        auto const task = core::text_field("task", core::to_string(run.task));
        auto const pace = core::number_field("percent", 0);
        return std::any_of(
            m_events.begin(),
            m_events.end(),
            [&](core::event const& each)
            {
                auto const& fields = each.fields;
                return std::count(fields.begin(), fields.end(), task) > 0 &&
                       std::count(fields.begin(), fields.end(), pace) > 0;
            });
    }

    static core::running_task running_at(core::task_run const& run,
                                         std::int64_t load)
    {
        core::running_task row;
        row.run = run;
        row.load = load;
        return row;
    }

    /// @return Workflow of the first placement.
    std::string first_placed()
    {
        report({});
        grant();
        auto const command = plan();
        CPPUNIT_ASSERT(command && !command->placements.empty());
        m_table.progress(*command, m_now);
        m_dispatcher->applied(m_now, *command);
        return command->placements.front().run.task.workflow.value();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overload_dispatch_test);

} // namespace turmericswitch::workflow
