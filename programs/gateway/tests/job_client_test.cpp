#include "gateway/jobs/job_client.hpp"
#include "wire/codec/message_codec.hpp"
#include "wire/codec/protocol_version.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <mutex>
#include <vector>

namespace turmericswitch::gateway
{

using core::result_code;
using std::chrono::milliseconds;

/// Submits through a control instance that answers as each test says.
class job_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_client_test);
    CPPUNIT_TEST(submission_that_finds_no_leader_in_time_is_not_run);
    CPPUNIT_TEST(refusal_after_a_lost_attempt_is_an_unknown_outcome);
    CPPUNIT_TEST(refusal_for_any_reason_does_not_speak_for_a_lost_attempt);
    CPPUNIT_TEST(answer_about_the_job_holds_after_a_lost_attempt);
    CPPUNIT_TEST(refusal_of_the_only_attempt_is_passed_on);
    CPPUNIT_TEST(leader_decides_on_a_call_without_time);
    CPPUNIT_TEST(earlier_release_gets_no_time_left);
    CPPUNIT_TEST_SUITE_END();

    using answer_hook = std::function<void(transport::responder const&)>;

    void start(std::vector<answer_hook> answers)
    {
        m_answers = std::move(answers);
        transport::connection_options connection;
        connection.protocol_version = wire::protocol_version;
        m_server = transport::rpc_server::listen(
            m_server_io,
            {"127.0.0.1", 0},
            [this](transport::rpc_request const& request,
                   transport::responder const& answer)
            {
                std::lock_guard const lock(m_mutex);
                auto const next =
                    std::min(m_received.size(), m_answers.size() - 1);
                m_received.push_back(
                    *wire::decode<core::command_envelope>(request.body));
                m_answers[next](answer);
            },
            connection,
            [](std::string const&) {});
        m_link.emplace(m_io, std::vector{m_server->bound()}, 1);
        m_client.emplace(*m_link);
    }

    static answer_hook reply_with(result_code code)
    {
        return [code](transport::responder const& answer)
        {
            core::command_reply reply;
            reply.code = code;
            answer.answer(wire::encode(reply));
        };
    }

public:
    void tearDown() override
    {
        m_client.reset();
        m_link.reset();
        m_server.reset();
        m_received.clear();
    }

    // Guards against attempts that are sent when their commit would come after
    // the caller has given up.
    void submission_that_finds_no_leader_in_time_is_not_run()
    {
        start({reply_with(result_code::not_leader)});
        auto const result = m_client->submit({}, milliseconds(500));
        CPPUNIT_ASSERT(result.code == result_code::deadline_exceeded);
        CPPUNIT_ASSERT(result.expired.has_value());
        for (auto const& each : m_received)
        {
            CPPUNIT_ASSERT(each.time_left && *each.time_left > milliseconds(0));
        }
    }

    // Guards against "not run" for a submission of which an earlier attempt may
    // still reach the leader.
    void refusal_after_a_lost_attempt_is_an_unknown_outcome()
    {
        start({reply_with(result_code::outcome_unknown),
               reply_with(result_code::deadline_exceeded)});
        CPPUNIT_ASSERT(m_client->submit({}, milliseconds(2500)).code ==
                       result_code::outcome_unknown);
    }

    // Guards against "not accepted" (429, 404, 400) for a submission of which
    // an attempt at an earlier leader got no answer: that attempt may still be
    // committed, and the job then runs although its caller was refused.
    void refusal_for_any_reason_does_not_speak_for_a_lost_attempt()
    {
        for (auto const refusal : {result_code::not_admitted,
                                   result_code::queue_unknown,
                                   result_code::overloaded,
                                   result_code::message_malformed})
        {
            start({reply_with(result_code::outcome_unknown),
                   reply_with(refusal)});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                std::string(core::to_string(refusal)),
                std::string(core::to_string(result_code::outcome_unknown)),
                std::string(core::to_string(
                    m_client->submit({}, milliseconds(2500)).code)));
            tearDown();
        }
    }

    // Guards against unknown outcomes where the leader has said what is known
    // of the job, whichever attempt made it so.
    void answer_about_the_job_holds_after_a_lost_attempt()
    {
        start({reply_with(result_code::outcome_unknown),
               reply_with(result_code::job_unknown)});
        CPPUNIT_ASSERT(m_client->cancel({}, milliseconds(2500)).code ==
                       result_code::job_unknown);
        tearDown();
        start({reply_with(result_code::outcome_unknown),
               reply_with(result_code::ok)});
        CPPUNIT_ASSERT(m_client->submit({}, milliseconds(2500)).code ==
                       result_code::ok);
    }

    // Guards against unknown outcomes after answers that prove that no attempt
    // was carried out: of members that don't lead.
    void refusal_of_the_only_attempt_is_passed_on()
    {
        start({reply_with(result_code::not_leader),
               reply_with(result_code::not_admitted)});
        CPPUNIT_ASSERT(m_client->submit({}, milliseconds(2500)).code ==
                       result_code::not_admitted);
    }

    // Guards against a gateway that refuses the resend of an accepted
    // submission, which it can't tell from a new one, and against cancels that
    // are refused for want of time.
    void leader_decides_on_a_call_without_time()
    {
        start({reply_with(result_code::ok)});
        m_client->cancel({}, milliseconds(2500));
        CPPUNIT_ASSERT(m_client->submit({}, milliseconds(1)).code ==
                       result_code::ok);
        CPPUNIT_ASSERT(*m_received.at(1).time_left <= milliseconds(1));
        CPPUNIT_ASSERT(!m_received.at(0).time_left.has_value());
    }

    // Guards against gateways whose submissions all fail at control instances
    // of an earlier release.
    void earlier_release_gets_no_time_left()
    {
        auto const refuse = [](transport::responder const& answer)
        { answer.refuse(result_code::message_malformed, "too long"); };
        start({refuse, reply_with(result_code::ok)});
        CPPUNIT_ASSERT(m_client->submit({}, milliseconds(2500)).code ==
                       result_code::ok);
        CPPUNIT_ASSERT(m_received.at(0).time_left.has_value());
        CPPUNIT_ASSERT(!m_received.at(1).time_left.has_value());
    }

private:
    std::mutex m_mutex;
    std::vector<answer_hook> m_answers;
    std::vector<core::command_envelope> m_received;
    transport::io_pool m_server_io{1};
    transport::io_pool m_io{1};
    std::unique_ptr<transport::rpc_server> m_server;
    std::optional<shared::control_link> m_link;
    std::optional<job_client> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_client_test);

} // namespace turmericswitch::gateway
