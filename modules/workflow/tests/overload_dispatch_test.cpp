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

private:
    void elect_with_overload()
    {
        dispatch_options options;
        options.overload.order = true;
        m_dispatcher = std::make_unique<dispatcher>(
            m_table,
            options,
            7,
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
