#include "leader/workflow_service.hpp"
#include "process/clock/boot_clock.hpp"
#include "tests/replica_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace turmericswitch::control::testing
{

using core::result_code;
using std::chrono::seconds;

/// A leader handles submissions that have waited in front of it, and polls of
/// sidecars.
class workflow_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(workflow_service_test);
    CPPUNIT_TEST(submission_that_waited_past_its_time_is_not_proposed);
    CPPUNIT_TEST(submission_with_time_left_is_proposed);
    CPPUNIT_TEST(resend_past_its_time_is_accepted);
    CPPUNIT_TEST(deposed_leader_does_not_refuse);
    CPPUNIT_TEST(next_leader_accepts_the_resend_of_an_unanswered_submission);
    CPPUNIT_TEST(submission_that_arrives_after_its_cancel_is_not_accepted);
    CPPUNIT_TEST(next_leader_refuses_a_submission_that_follows_its_cancel);
    CPPUNIT_TEST(cancelled_workflow_is_acknowledged_again);
    CPPUNIT_TEST(poll_of_the_next_incarnation_ends_that_of_the_earlier_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_group.emplace();
        m_leader = m_group->wait_for_leader();
        core::configuration_document document;
        document.version = 1;
        document.queues.emplace_back().queue = core::queue_id("q");
        m_group->node(m_leader).propose(core::apply_document{document},
                                        {},
                                        {},
                                        [](core::command_reply const&) {});
        m_group->step();
        start_service();
    }

    void tearDown() override
    {
        m_service->end();
        m_service.reset();
        m_group.reset();
        m_events.clear();
    }

    // Guards against commands that commit after their caller was told that
    // their fate is unknown, because the leader was busy or suspended.
    void submission_that_waited_past_its_time_is_not_proposed()
    {
        auto const last = m_group->node(m_leader).commit_index();
        auto const reply = submit("w", seconds(2), seconds(3));
        CPPUNIT_ASSERT(reply && reply->code == result_code::deadline_exceeded);
        CPPUNIT_ASSERT(reply->retry_after >= seconds(3));
        CPPUNIT_ASSERT(!is_accepted("w"));
        CPPUNIT_ASSERT(m_group->node(m_leader).commit_index() == last);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_events.size());
        CPPUNIT_ASSERT(m_events[0].code ==
                       core::event_code::submission_expired);
        // A new try of the caller has its own time.
        CPPUNIT_ASSERT(submit("w", seconds(2), {})->code == result_code::ok);
    }

    // Guards against refusals of calls that can be answered in time, and of
    // those from gateways of an earlier release.
    void submission_with_time_left_is_proposed()
    {
        CPPUNIT_ASSERT(submit("w", seconds(9), seconds(3))->code ==
                       result_code::ok);
        CPPUNIT_ASSERT(is_accepted("w"));
        CPPUNIT_ASSERT(submit("v", {}, seconds(3))->code == result_code::ok);
        CPPUNIT_ASSERT(is_accepted("v"));
    }

    // Guards against "not run" for a submission that was accepted before.
    void resend_past_its_time_is_accepted()
    {
        submit("w", seconds(2), {});
        CPPUNIT_ASSERT(submit("w", seconds(2), seconds(3))->code ==
                       result_code::ok);
    }

    // Guards against "not run" from a leader that does not know what its
    // successor has accepted.
    void deposed_leader_does_not_refuse()
    {
        m_group->at(m_leader).isolated = true;
        auto const reply = submit("w", seconds(2), seconds(3));
        CPPUNIT_ASSERT(!reply || reply->code == result_code::not_leader);
    }

    // Guards against "not run" from a leader that does not know what its
    // predecessor has committed without an answer.
    void next_leader_accepts_the_resend_of_an_unanswered_submission()
    {
        submit("w", seconds(9), {});
        change_leader();
        CPPUNIT_ASSERT(submit("w", seconds(2), seconds(3))->code ==
                       result_code::ok);
    }

    // A submission got no answer, and its caller cancels it and is told that
    // there is no such job. Guards against running it when it arrives late.
    void submission_that_arrives_after_its_cancel_is_not_accepted()
    {
        cancel("w");
        auto const reply = submit("w", seconds(9), {});
        CPPUNIT_ASSERT(reply && reply->code == result_code::not_admitted);
        CPPUNIT_ASSERT(!is_accepted("w"));
        CPPUNIT_ASSERT(submit("v", seconds(9), {})->code == result_code::ok);
    }

    // The same, and the leader changes between the cancel and the submission.
    // Guards against cancels that only the leader that has answered them knows.
    void next_leader_refuses_a_submission_that_follows_its_cancel()
    {
        CPPUNIT_ASSERT(cancel("w") == result_code::job_unknown);
        change_leader();
        auto const reply = submit("w", seconds(9), {});
        CPPUNIT_ASSERT(reply && reply->code == result_code::not_admitted);
        CPPUNIT_ASSERT(!is_accepted("w"));
    }

    // Guards against refusing the resend of a submission that was accepted and
    // cancelled.
    void cancelled_workflow_is_acknowledged_again()
    {
        submit("w", seconds(9), {});
        cancel("w");
        CPPUNIT_ASSERT(submit("w", seconds(9), {})->code == result_code::ok);
    }

    // Guards against a poll that is dropped without an answer when its worker
    // restarts: the sidecar takes that for a lost leader, closes its connection
    // and waits 200 ms before it reports the new incarnation's runs again.
    void poll_of_the_next_incarnation_ends_that_of_the_earlier_one()
    {
        // The open poll is answered in tearDown().
        auto const answered = std::make_shared<std::vector<std::uint64_t>>();
        for (std::uint64_t const life : {1, 2})
        {
            core::orders_request request;
            request.worker = core::worker_id("w");
            request.life = core::incarnation(life);
            request.max_wait = seconds(5);
            m_service->poll_orders(
                request,
                [answered, life](core::runtime_orders const& orders)
                {
                    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, orders.batch);
                    answered->push_back(life);
                });
        }
        CPPUNIT_ASSERT(*answered == std::vector<std::uint64_t>{1});
    }

private:
    void start_service()
    {
        m_service = std::make_shared<workflow_service>(
            *m_group->at(m_leader).loop,
            m_group->node(m_leader),
            workflow::dispatch_options{},
            [this](core::event const& what) { m_events.push_back(what); },
            m_metrics);
    }

    /// @param waited Time since the submission was received.
    /// @return The answer, if there is one.
    std::optional<core::command_reply>
    submit(std::string const& workflow,
           std::optional<core::duration> time_left,
           core::duration waited)
    {
        core::submit_workflow command;
        command.queue = core::queue_id("q");
        command.workflow = core::workflow_id(workflow);
        forwarded_submission submission;
        submission.envelope.body = std::move(command);
        submission.envelope.time_left = time_left;
        submission.received = process::boot_time() - waited;
        auto const reply =
            std::make_shared<std::optional<core::command_reply>>();
        m_service->submit(std::move(submission),
                          [reply](core::command_reply answer)
                          { *reply = std::move(answer); });
        m_group->step_until([&reply] { return reply->has_value(); });
        return *reply;
    }

    void change_leader()
    {
        m_service->end();
        m_service.reset();
        m_group->crash(m_leader);
        m_leader = m_group->wait_for_leader();
        start_service();
    }

    std::optional<result_code> cancel(std::string const& workflow)
    {
        core::command_envelope envelope;
        envelope.body = core::cancel_workflow{
            core::queue_id("q"), core::workflow_id(workflow), {}, {}};
        auto const answered = std::make_shared<std::optional<result_code>>();
        m_service->cancel(std::move(envelope),
                          [answered](core::command_reply const& reply)
                          { *answered = reply.code; });
        m_group->step_until([&answered] { return answered->has_value(); });
        return *answered;
    }

    bool is_accepted(std::string const& workflow)
    {
        return m_group->node(m_leader).state().workflows().find(
                   core::workflow_id(workflow)) != nullptr;
    }

    telemetry::metrics_registry m_metrics;
    std::vector<core::event> m_events;
    std::optional<replica_group> m_group;
    std::size_t m_leader = 0;
    std::shared_ptr<workflow_service> m_service;
};

CPPUNIT_TEST_SUITE_REGISTRATION(workflow_service_test);

} // namespace turmericswitch::control::testing
