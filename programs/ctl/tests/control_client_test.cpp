#include "fake_control.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::ctl
{

namespace
{

constexpr char const* status_request = "GET /v1/status";
constexpr char const* drain_request = "POST /v1/backends/bk-1/drain";
constexpr char const* add_member_request = "POST /v1/members";
constexpr char const* ok_reply =
    R"({"code":0,"name":"ok","text":"","revision":4})";
constexpr char const* empty_status =
    R"({"term":1,"commit_index":1,"revision":4,"workers":0,"zones":[],)"
    R"("jobs":{},"storage_failed":false,"processes":[]})";

std::string refusal(core::result_code code)
{
    return web::error_response(code, "control's message").body;
}

std::vector<std::string> const add_member_arguments{
    "members", "add", "4", "127.0.0.1:7", "127.0.0.1:8"};

} // namespace

class control_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_client_test);
    CPPUNIT_TEST(follower_redirects_to_the_leader);
    CPPUNIT_TEST(unreachable_instance_is_skipped);
    CPPUNIT_TEST(redirect_to_an_unreachable_leader_tries_the_other_instances);
    CPPUNIT_TEST(unresponsive_leader_is_tried_once_per_round);
    CPPUNIT_TEST(call_is_retried_during_an_election);
    CPPUNIT_TEST(unreachable_group_is_reported);
    CPPUNIT_TEST(lost_answer_is_retried_with_the_same_operation);
    CPPUNIT_TEST(no_quorum_is_retried);
    CPPUNIT_TEST(unknown_outcome_is_never_reported_as_not_applied);
    CPPUNIT_TEST(lost_member_change_is_sent_once);
    CPPUNIT_TEST(refused_member_change_is_retried_at_the_leader);
    CPPUNIT_TEST(malformed_answers_are_errors);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a write that fails because the first instance in
    // --control is a follower.
    void follower_redirects_to_the_leader()
    {
        auto& leader = reset_instance(0);
        auto& follower = reset_instance(1);
        auto const endpoint = leader.endpoint();
        follower.redirect(drain_request, &endpoint);
        leader.answer(drain_request, ok_reply);
        auto const result = run_on(follower, {"drain", "bk-1"});
        CPPUNIT_ASSERT_EQUAL(0, result.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader.request_lines().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, follower.request_lines().size());
    }

    // Guards against a command that fails because one instance is down.
    void unreachable_instance_is_skipped()
    {
        auto& reachable = reset_instance(0);
        reachable.answer(status_request, empty_status);
        auto const result = run_against(
            {unreachable_instance, reachable.endpoint()}, {"status"});
        CPPUNIT_ASSERT_EQUAL(0, result.status);
        CPPUNIT_ASSERT(contains(result.out, "revision  4"));
    }

    // Guards against a loop between a follower and a failed leader to which the
    // follower still redirects until the next election.
    void redirect_to_an_unreachable_leader_tries_the_other_instances()
    {
        auto& follower = reset_instance(0);
        auto& successor = reset_instance(1);
        auto const endpoint = unreachable_instance;
        follower.redirect(status_request, &endpoint);
        successor.answer(status_request, empty_status);
        auto const result = run_against(
            {follower.endpoint(), successor.endpoint()}, {"status"});
        CPPUNIT_ASSERT_EQUAL(0, result.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, follower.request_lines().size());
    }

    // Guards against waiting for an unresponsive leader once per follower that
    // redirects to it.
    void unresponsive_leader_is_tried_once_per_round()
    {
        auto& first = reset_instance(0);
        auto& second = reset_instance(1);
        auto& unresponsive = reset_instance(2);
        auto const endpoint = unresponsive.endpoint();
        first.redirect(status_request, &endpoint);
        first.answer(status_request, empty_status);
        second.redirect(status_request, &endpoint);
        unresponsive.lose_answer(status_request);
        CPPUNIT_ASSERT_EQUAL(
            0,
            run_against({first.endpoint(), second.endpoint()}, {"status"})
                .status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             unresponsive.request_lines().size());
    }

    // Guards against a command that fails because it ran during an election.
    void call_is_retried_during_an_election()
    {
        auto& instance = reset_instance(0);
        instance.redirect(status_request);
        instance.redirect(status_request);
        instance.answer(status_request, empty_status);
        CPPUNIT_ASSERT_EQUAL(0, run_on(instance, {"status"}).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, instance.request_lines().size());
    }

    // Guards against a changed exit status or error text; scripts and operators
    // rely on both.
    void unreachable_group_is_reported()
    {
        auto const result = run_against(
            {unreachable_instance, unreachable_instance}, {"drain", "bk-1"});
        CPPUNIT_ASSERT_EQUAL(704 % 256, result.status);
        CPPUNIT_ASSERT(contains(result.err, "704 peer_unreachable"));
        CPPUNIT_ASSERT(contains(result.err, "next: nothing was applied"));
    }

    // Guards against applying a write twice, or giving up, when its answer is
    // lost.
    void lost_answer_is_retried_with_the_same_operation()
    {
        applied_operations applied;
        auto& first = reset_instance(0, &applied);
        auto& second = reset_instance(1, &applied);
        first.lose_answer(drain_request);
        second.answer(drain_request, ok_reply);
        auto const result = run_against({first.endpoint(), second.endpoint()},
                                        {"drain", "bk-1"});
        CPPUNIT_ASSERT_EQUAL(0, result.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, applied.count);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.operations().size());
        CPPUNIT_ASSERT(first.operations() == second.operations());
        // The next invocation uses a new operation name.
        run_on(second, {"drain", "bk-1"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, applied.count);
    }

    // Guards against giving up while the group has no quorum for a short time.
    void no_quorum_is_retried()
    {
        auto& instance = reset_instance(0);
        auto const text = refusal(core::result_code::no_quorum);
        instance.answer(drain_request, text, 503);
        instance.answer(drain_request, ok_reply);
        CPPUNIT_ASSERT_EQUAL(0, run_on(instance, {"drain", "bk-1"}).status);
    }

    // Guards against reporting that nothing was applied when an earlier attempt
    // may have been.
    void unknown_outcome_is_never_reported_as_not_applied()
    {
        auto& instance = reset_instance(0);
        instance.lose_answer("POST /v1/jobs");
        instance.answer(
            "POST /v1/jobs", refusal(core::result_code::timed_out), 504);
        instance.answer(
            "POST /v1/jobs", refusal(core::result_code::no_quorum), 503);
        auto const result =
            run_on(instance,
                   {"submit",
                    TURMERICSWITCH_SOURCE_DIR "/programs/ctl/tests/jobs.json"});
        CPPUNIT_ASSERT_EQUAL(302 % 256, result.status);
        CPPUNIT_ASSERT(contains(result.err, "302 outcome_unknown"));
        auto const names = instance.operations();
        CPPUNIT_ASSERT(names.size() > 3);
        CPPUNIT_ASSERT(contains(result.err, "--operation " + names.front()));
        for (auto const& name : names)
        {
            CPPUNIT_ASSERT_EQUAL(names.front(), name);
        }
    }

    // Guards against applying a member change twice; it carries no operation
    // name, so control cannot detect a repeat.
    void lost_member_change_is_sent_once()
    {
        auto& first = reset_instance(0);
        auto& second = reset_instance(1);
        first.lose_answer(add_member_request);
        second.answer(add_member_request, ok_reply);
        auto const result = run_against({first.endpoint(), second.endpoint()},
                                        add_member_arguments);
        CPPUNIT_ASSERT_EQUAL(302 % 256, result.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.request_lines().size());
        CPPUNIT_ASSERT(second.request_lines().empty());
        CPPUNIT_ASSERT(contains(result.err, "`members` shows whether"));
        auto& slow = reset_instance(2);
        slow.answer(
            add_member_request, refusal(core::result_code::timed_out), 504);
        CPPUNIT_ASSERT_EQUAL(302 % 256,
                             run_on(slow, add_member_arguments).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, slow.request_lines().size());
    }

    // Guards against treating a member change that certainly was not applied as
    // one with an unknown outcome.
    void refused_member_change_is_retried_at_the_leader()
    {
        auto& follower = reset_instance(0);
        auto& leader = reset_instance(1);
        auto const endpoint = leader.endpoint();
        follower.redirect(add_member_request, &endpoint);
        leader.answer(add_member_request, ok_reply);
        CPPUNIT_ASSERT_EQUAL(
            0,
            run_against({unreachable_instance, follower.endpoint()},
                        add_member_arguments)
                .status);
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                R"({"action":"add","http":"127.0.0.1:8","id":4,"rpc":"127.0.0.1:7"})"),
            leader.last_body());
    }

    // Guards against a crash or a false success on answers that are not from
    // control.
    void malformed_answers_are_errors()
    {
        for (char const* const body :
             {"", "[]", "{}", "not JSON", R"({"revision":"x"})"})
        {
            auto& instance = reset_instance(0);
            instance.answer(status_request, body);
            instance.answer("GET /v1/members", body, 500);
            CPPUNIT_ASSERT_EQUAL(702 % 256,
                                 run_on(instance, {"status"}).status);
            CPPUNIT_ASSERT_EQUAL(702 % 256,
                                 run_on(instance, {"members"}).status);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_client_test);

} // namespace turmericswitch::ctl
