#include "dispatcher_fixture.hpp"
#include "planning_builder.hpp"
#include "workflow/dispatch/backlog_trace.hpp"
#include "workflow/dispatch/worker_score.hpp"

#include <functional>
#include <string>
#include <vector>

namespace turmericswitch::workflow
{

using namespace testing;

/// What a plan tells about the tasks that it leaves unplaced. Guards against a
/// backlog of which an operator can't tell whether it lacks room or is held
/// back.
class backlog_trace_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(backlog_trace_test);
    CPPUNIT_TEST(each_check_of_the_planner_is_named);
    CPPUNIT_TEST(nearest_worker_says_what_holds_a_task_back);
    CPPUNIT_TEST(gang_is_held_back_as_a_whole);
    CPPUNIT_TEST(longest_wait_survives_an_election);
    CPPUNIT_TEST(placement_ends_the_wait);
    CPPUNIT_TEST(first_attempts_wait_since_their_submission);
    CPPUNIT_TEST_SUITE_END();

public:
    void each_check_of_the_planner_is_named()
    {
        using obstacle = placement_obstacle;
        auto const description = stage(1, 1000);
        auto best_effort = description;
        best_effort.behaviour.uses_spare_cpu = true;
        auto limited = description;
        limited.constraints.max_per_worker = 1;
        auto labelled = description;
        labelled.constraints.required_label = "gpu";
        auto const other = core::workflow_id("other");
        using change = std::function<void(candidate_worker&)>;
        struct
        {
            obstacle expected;
            core::stage_description const& of;
            change prepare;
        } const cases[] = {
            {obstacle::no_worker,
             description,
             [](auto& w) { w.service = core::service_id("x"); }},
            {obstacle::label, labelled, [](auto&) {}},
            {obstacle::max_per_worker,
             limited,
             [](auto& w) {
                 w.per_stage[{core::workflow_id("a"), 0, 0}] = 1;
             }},
            {obstacle::no_room,
             description,
             [](auto& w) { w.free.cpu = core::millicores(999); }},
            {obstacle::no_spare_cpu,
             best_effort,
             [](auto& w) { w.spare = core::millicores(499); }},
            {obstacle::quarantine,
             description,
             [](auto& w) { w.is_trial = true; }},
            {obstacle::serving_over_target,
             best_effort,
             [](auto& w) { w.closed_to_best_effort = true; }},
            {obstacle::isolated_worker,
             description,
             [&](auto& w) { w.isolated_for = other; }},
            {obstacle::kept_room,
             description,
             [&](auto& w) {
                 w.held = {{other, 0, 0}, w.capacity, 0};
             }},
        };
        for (auto const& [expected, of, prepare] : cases)
        {
            auto worker = candidate("w", 8000);
            prepare(worker);
            auto const waiting = pending("a", of, 1);
            CPPUNIT_ASSERT_EQUAL(
                std::string(to_string(expected)),
                std::string(to_string(find_obstacle(worker, waiting))));
        }
    }

    // One worker is full, on another one the task is held back.
    void nearest_worker_says_what_holds_a_task_back()
    {
        auto const description = stage(3);
        std::vector<candidate_worker> workers{candidate("full", 500),
                                              candidate("new", 8000)};
        workers[1].add_not_established(core::workflow_id("x"),
                                       crash_suspicion::none);
        auto waiting = pending("a", description, 3);
        waiting.suspected.emplace(run_of("a", 0, 0), crash_suspicion::isolated);
        plan_traced({waiting}, workers);
        CPPUNIT_ASSERT_EQUAL(std::string("isolation=1"),
                             to_string(m_trace.counts()));
        CPPUNIT_ASSERT(m_trace.longest()->why == placement_obstacle::isolation);
    }

    void gang_is_held_back_as_a_whole()
    {
        auto description = stage(3, 4000);
        description.behaviour.gang = true;
        std::vector<candidate_worker> workers{candidate("w", 8000)};
        plan_traced({pending("a", description, 3)}, workers);
        CPPUNIT_ASSERT_EQUAL(std::string("gang=3"),
                             to_string(m_trace.counts()));
    }

    // The task was refused under the leader before. Guards against an age that
    // begins again at each election and so hides how long the task has waited.
    void longest_wait_survives_an_election()
    {
        start_one();
        refuse();
        m_now += std::chrono::seconds(20);
        elect({std::chrono::seconds(6), std::chrono::seconds(6)});
        plan();
        m_now += std::chrono::seconds(5);
        auto const counts = m_dispatcher->counts(m_now, m_config);
        CPPUNIT_ASSERT(counts.longest_wait == std::chrono::seconds(25));
        CPPUNIT_ASSERT(counts.longest.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("a.0.0"),
                             to_string(counts.longest->stage));
        CPPUNIT_ASSERT_EQUAL(std::string("no_worker=1"),
                             to_string(counts.held_back));
    }

    void placement_ends_the_wait()
    {
        start_one();
        refuse();
        CPPUNIT_ASSERT(m_table.unplaced_since(m_run.task) == m_now);
        core::workflow_progress command;
        command.placements = {placed(run_of("a", 0, 0, 2))};
        m_table.progress(command, m_now);
        CPPUNIT_ASSERT(!m_table.unplaced_since(m_run.task));
        command = {};
        command.ends = {ended(run_of("a", 0, 0, 2), core::run_end::done)};
        m_table.progress(command, m_now);
        CPPUNIT_ASSERT(!m_table.unplaced_since(m_run.task));
    }

    void first_attempts_wait_since_their_submission()
    {
        submit();
        m_now += std::chrono::seconds(7);
        elect({std::chrono::seconds(6), std::chrono::seconds(6)});
        plan();
        CPPUNIT_ASSERT(m_dispatcher->counts(m_now, m_config).longest_wait ==
                       std::chrono::seconds(7));
    }

private:
    void plan_traced(std::vector<pending_stage> stages,
                     std::vector<candidate_worker>& workers)
    {
        placement_policy policy;
        policy.on_unplaced =
            [this](pending_stage const& each, std::size_t tasks, auto why)
        { m_trace.add(each, tasks, why); };
        m_trace.clear();
        plan_stages(std::move(stages), workers, 100, no_tail, policy);
    }

    void refuse()
    {
        core::workflow_progress command;
        command.ends = {ended(m_run, core::run_end::refused)};
        m_table.progress(command, m_now);
    }

    core::task_run m_run = run_of("a", 0, 0);
    backlog_trace m_trace;
};

CPPUNIT_TEST_SUITE_REGISTRATION(backlog_trace_test);

} // namespace turmericswitch::workflow
