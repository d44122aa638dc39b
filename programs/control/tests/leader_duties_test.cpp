#include "tests/replica_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::control::testing
{

using core::result_code;

class leader_duties_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leader_duties_test);
    CPPUNIT_TEST(worker_runs_a_job);
    CPPUNIT_TEST(deposed_leader_renews_nothing);
    CPPUNIT_TEST(deposed_leader_grants_no_reported_start);
    CPPUNIT_TEST(answer_waits_for_a_round_after_the_heartbeat);
    CPPUNIT_TEST(silent_worker_loses_its_task_after_the_lease);
    CPPUNIT_TEST(polls_end_with_the_leadership);
    CPPUNIT_TEST(deposed_leader_answers_no_watch);
    CPPUNIT_TEST(watch_is_answered_once_leadership_is_confirmed);
    CPPUNIT_TEST_SUITE_END();

    /// The group replaces the process-wide clock, so only one may exist.
    std::unique_ptr<replica_group> m_group;
    std::vector<core::heartbeat_answer> m_answers;
    std::uint64_t m_sequence = 0;

public:
    void setUp() override
    {
        m_group = std::make_unique<replica_group>();
    }

    void tearDown() override
    {
        m_group.reset();
    }

private:
    void set_up_zone()
    {
        CPPUNIT_ASSERT(m_group->wait_for_leader() != 0);
        bool is_done = false;
        m_group->node(m_group->leader())
            .propose(core::apply_rules{core::operator_id("o"),
                                       {},
                                       "zone a region=n # asked by A: t\n"},
                     {},
                     {},
                     [&](core::command_reply const& reply)
                     { is_done = reply.code == result_code::ok; });
        CPPUNIT_ASSERT(m_group->step_until([&] { return is_done; }));
    }

    void heartbeat(std::size_t at,
                   std::vector<core::held_task> held = {},
                   std::vector<core::task_report> reports = {})
    {
        core::heartbeat_request request;
        request.worker.worker = core::worker_id("w");
        request.worker.life = core::incarnation(1);
        request.worker.place.zone = core::zone_id("a");
        request.worker.capacity.cpu = core::millicores(1000);
        request.sent_at = m_group->now.time_since_epoch();
        request.held = std::move(held);
        request.reports = std::move(reports);
        request.report_sequence =
            request.reports.empty() ? m_sequence : ++m_sequence;
        m_group->at(at).duties->heartbeat(
            request,
            [this](core::heartbeat_answer answer)
            { m_answers.push_back(std::move(answer)); });
    }

    /// Submits a job, then sends heartbeats until a start order comes.
    core::held_task start_a_job()
    {
        set_up_zone();
        CPPUNIT_ASSERT(m_group->submit_jobs_and_wait(1));
        for (int i = 0; i < 50; ++i)
        {
            heartbeat(m_group->leader());
            for (int steps = 0; steps < 10; ++steps)
            {
                m_group->step();
            }
            if (!m_answers.empty() && !m_answers.back().starts.empty())
            {
                auto const& order = m_answers.back().starts.front();
                return {order.job, order.attempt};
            }
        }
        CPPUNIT_FAIL("no start order");
        return {};
    }

    static core::task_report report_of(core::held_task const& task,
                                       core::task_event event)
    {
        return {task.job, task.attempt, event, {}, {}, {}};
    }

    // Guards against duties that are not connected to the state machine or the
    // planner.
    void worker_runs_a_job()
    {
        auto const task = start_a_job();
        heartbeat(m_group->leader(),
                  {task},
                  {report_of(task, core::task_event::started)});
        m_group->step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_answers.back().renewals.size());
        CPPUNIT_ASSERT_EQUAL(m_sequence, m_answers.back().acknowledged_reports);
        heartbeat(m_group->leader(),
                  {},
                  {report_of(task, core::task_event::finished)});
        m_group->step();
        auto const* const job =
            m_group->node(m_group->leader()).state().jobs().find(task.job);
        CPPUNIT_ASSERT(job->state == core::job_state::finished);
    }

    /// @return The answer to a heartbeat that arrives after its leader was
    /// isolated.
    core::heartbeat_answer
    answer_when_isolated(std::vector<core::held_task> const& held,
                         std::vector<core::task_report> const& reports)
    {
        auto const first = m_group->leader();
        m_group->at(first).isolated = true;
        m_answers.clear();
        heartbeat(first, held, reports);
        CPPUNIT_ASSERT(m_answers.empty());
        CPPUNIT_ASSERT(m_group->step_until([&] { return !m_answers.empty(); }));
        return m_answers.back();
    }

    // Guards against two runs of a task at once: a leader that may have a
    // successor must not renew leases (invariant 2).
    void deposed_leader_renews_nothing()
    {
        auto const task = start_a_job();
        heartbeat(m_group->leader(),
                  {task},
                  {report_of(task, core::task_event::started)});
        m_group->step();
        auto const answer = answer_when_isolated({task}, {});
        CPPUNIT_ASSERT(answer.code == result_code::not_leader);
        CPPUNIT_ASSERT(answer.renewals.empty() && answer.starts.empty());
    }

    // Guards against the same fault when the heartbeat has reports, which are
    // committed before the answer.
    void deposed_leader_grants_no_reported_start()
    {
        auto const task = start_a_job();
        auto const answer = answer_when_isolated(
            {task}, {report_of(task, core::task_event::started)});
        CPPUNIT_ASSERT(answer.code == result_code::not_leader);
        CPPUNIT_ASSERT(answer.renewals.empty() && answer.starts.empty());
        CPPUNIT_ASSERT(answer.acknowledged_reports == 0);
    }

    // Guards against an answer based on a confirmation of leadership from
    // before the heartbeat: while the leader is isolated there may be no
    // answer, and once it is reachable there must be one.
    void answer_waits_for_a_round_after_the_heartbeat()
    {
        start_a_job();
        auto const first = m_group->leader();
        m_group->at(first).isolated = true;
        m_answers.clear();
        heartbeat(first);
        m_group->drain();
        CPPUNIT_ASSERT(m_answers.empty());
        m_group->at(first).isolated = false;
        CPPUNIT_ASSERT(
            m_group->step_until([&] { return !m_answers.empty(); }, 20));
        CPPUNIT_ASSERT(m_answers.back().code == result_code::ok);
    }

    // Guards against a task that is placed again while its worker may still
    // run it, and against one whose lease never expires (invariants 2 and 3).
    void silent_worker_loses_its_task_after_the_lease()
    {
        auto const task = start_a_job();
        auto const began = m_group->now;
        auto const is_held = [&]
        {
            auto const leader = m_group->leader();
            return leader == 0 || m_group->node(leader)
                                      .state()
                                      .jobs()
                                      .find(task.job)
                                      ->hold.has_value();
        };
        // The new leader does not know which leases the first one renewed.
        m_group->crash(m_group->leader());
        CPPUNIT_ASSERT(m_group->wait_for_leader() != 0);
        auto const elected = m_group->now;
        CPPUNIT_ASSERT(m_group->step_until([&] { return !is_held(); }, 40'000));
        auto const lease = cluster_state::lease_settings{}.batch_lease;
        CPPUNIT_ASSERT(m_group->now - elected >= lease);
        // A new leader does not know which tasks are services.
        CPPUNIT_ASSERT(m_group->now - began <
                       2 * cluster_state::lease_settings{}.service_lease);
    }

    // Guards against polls that stay open at a deposed leader.
    void polls_end_with_the_leadership()
    {
        set_up_zone();
        auto const first = m_group->leader();
        core::watch_request request;
        request.process = core::client_id("p");
        request.in_force = m_group->node(first).state().config().current();
        request.scope.emplace();
        request.max_wait = std::chrono::seconds(25);
        std::vector<core::watch_answer> polls;
        m_group->at(first).duties->watch(m_group->now,
                                         request,
                                         [&](core::watch_answer const& answer)
                                         { polls.push_back(answer); });
        m_group->at(first).isolated = true;
        CPPUNIT_ASSERT(
            m_group->step_until([&] { return !m_group->at(first).duties; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), polls.size());
        CPPUNIT_ASSERT(polls[0].code == result_code::not_leader);
    }

    /// Lets a process without a configuration poll an instance.
    std::shared_ptr<std::vector<core::watch_answer>> poll_anew(std::size_t at)
    {
        core::watch_request request;
        request.process = core::client_id("p");
        request.max_wait = std::chrono::seconds(25);
        auto answers = std::make_shared<std::vector<core::watch_answer>>();
        m_group->at(at).duties->watch(
            m_group->now,
            request,
            [answers](core::watch_answer const& answer)
            { answers->push_back(answer); });
        return answers;
    }

    // Guards against a gateway that takes an old configuration for current and
    // tells callers that a new queue doesn't exist. A leader that was suspended
    // has a successor, but handles the polls that wait in its sockets before it
    // notices that; its steady clock did not count the suspension.
    void deposed_leader_answers_no_watch()
    {
        set_up_zone();
        auto const first = m_group->leader();
        m_group->at(first).isolated = true;
        auto const answers = poll_anew(first);
        CPPUNIT_ASSERT(m_group->step_until([&] { return !answers->empty(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers->size());
        CPPUNIT_ASSERT(answers->back().code == result_code::not_leader);
        CPPUNIT_ASSERT(!answers->back().config);
    }

    // Guards against a leader that leaves a poll without an answer although
    // the group confirms it.
    void watch_is_answered_once_leadership_is_confirmed()
    {
        set_up_zone();
        auto const answers = poll_anew(m_group->leader());
        CPPUNIT_ASSERT(
            m_group->step_until([&] { return !answers->empty(); }, 20));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers->size());
        CPPUNIT_ASSERT(answers->back().code == result_code::ok);
        CPPUNIT_ASSERT(answers->back().config);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_duties_test);

} // namespace turmericswitch::control::testing
