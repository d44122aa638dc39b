#include "fake_control.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::ctl
{

namespace
{

constexpr char const* status_line = "GET /v1/status";
constexpr char const* drain_line = "POST /v1/backends/bk-1/drain";
constexpr char const* add_line = "POST /v1/members";
constexpr char const* done = R"({"code":0,"name":"ok","text":"","revision":4})";
constexpr char const* empty_status =
    R"({"term":1,"commit_index":1,"revision":4,"workers":0,"zones":[],)"
    R"("jobs":{},"storage_failed":false,"processes":[]})";

std::string refusal(core::result_code code)
{
    return web::error_response(code, "control's words").body;
}

std::vector<std::string> const add_words{
    "members", "add", "4", "127.0.0.1:7", "127.0.0.1:8"};

} // namespace

class control_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_client_test);
    CPPUNIT_TEST(follower_names_the_leader);
    CPPUNIT_TEST(dead_instance_is_passed_over);
    CPPUNIT_TEST(redirect_to_a_dead_leader_goes_on_with_the_others);
    CPPUNIT_TEST(leader_without_answer_is_asked_once_per_round);
    CPPUNIT_TEST(election_is_waited_for);
    CPPUNIT_TEST(unreachable_group_is_reported);
    CPPUNIT_TEST(lost_answer_is_repeated_with_the_same_operation);
    CPPUNIT_TEST(refusal_without_quorum_is_tried_again);
    CPPUNIT_TEST(unknown_outcome_is_never_reported_as_not_applied);
    CPPUNIT_TEST(lost_member_change_is_sent_once);
    CPPUNIT_TEST(refused_member_change_goes_to_the_leader);
    CPPUNIT_TEST(strange_answers_are_errors);
    CPPUNIT_TEST_SUITE_END();

    // Guards against writes that fail because --control lists a follower
    // first.
    void follower_names_the_leader()
    {
        auto& leader = fresh_control(0);
        auto& follower = fresh_control(1);
        auto const where = leader.where();
        follower.redirect(drain_line, &where);
        leader.answer(drain_line, done);
        auto const result = run_on(follower, {"drain", "bk-1"});
        CPPUNIT_ASSERT_EQUAL(0, result.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader.lines().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, follower.lines().size());
    }

    // Guards against one lost instance making ctl useless.
    void dead_instance_is_passed_over()
    {
        auto& alive = fresh_control(0);
        alive.answer(status_line, empty_status);
        auto const result =
            run_against({dead_instance, alive.where()}, {"status"});
        CPPUNIT_ASSERT_EQUAL(0, result.status);
        CPPUNIT_ASSERT(has(result.out, "revision  4"));
    }

    // Guards against a loop between a follower and the leader it remembers,
    // as right after the leader's death.
    void redirect_to_a_dead_leader_goes_on_with_the_others()
    {
        auto& follower = fresh_control(0);
        auto& successor = fresh_control(1);
        auto const where = dead_instance;
        follower.redirect(status_line, &where);
        successor.answer(status_line, empty_status);
        auto const result =
            run_against({follower.where(), successor.where()}, {"status"});
        CPPUNIT_ASSERT_EQUAL(0, result.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, follower.lines().size());
    }

    // Guards against the wait for a silent leader once per follower.
    void leader_without_answer_is_asked_once_per_round()
    {
        auto& first = fresh_control(0);
        auto& second = fresh_control(1);
        auto& ill = fresh_control(2);
        auto const where = ill.where();
        first.redirect(status_line, &where);
        first.answer(status_line, empty_status);
        second.redirect(status_line, &where);
        ill.lose_answer(status_line);
        CPPUNIT_ASSERT_EQUAL(
            0, run_against({first.where(), second.where()}, {"status"}).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ill.lines().size());
    }

    // Guards against an election failing an operator's command.
    void election_is_waited_for()
    {
        auto& instance = fresh_control(0);
        instance.redirect(status_line);
        instance.redirect(status_line);
        instance.answer(status_line, empty_status);
        CPPUNIT_ASSERT_EQUAL(0, run_on(instance, {"status"}).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, instance.lines().size());
    }

    // Guards the exit status and the words that scripts and people rely on.
    void unreachable_group_is_reported()
    {
        auto const result =
            run_against({dead_instance, dead_instance}, {"drain", "bk-1"});
        CPPUNIT_ASSERT_EQUAL(704 % 256, result.status);
        CPPUNIT_ASSERT(has(result.err, "704 peer_unreachable"));
        CPPUNIT_ASSERT(has(result.err, "next: nothing was applied"));
    }

    // Guards against a lost answer being applied twice or given up.
    void lost_answer_is_repeated_with_the_same_operation()
    {
        applied_operations applied;
        auto& first = fresh_control(0, &applied);
        auto& second = fresh_control(1, &applied);
        first.lose_answer(drain_line);
        second.answer(drain_line, done);
        auto const result =
            run_against({first.where(), second.where()}, {"drain", "bk-1"});
        CPPUNIT_ASSERT_EQUAL(0, result.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, applied.count);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.operations().size());
        CPPUNIT_ASSERT(first.operations() == second.operations());
        // The next invocation is another operation.
        run_on(second, {"drain", "bk-1"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, applied.count);
    }

    // Guards against giving up while a majority comes back.
    void refusal_without_quorum_is_tried_again()
    {
        auto& instance = fresh_control(0);
        auto const text = refusal(core::result_code::no_quorum);
        instance.answer(drain_line, text, 503);
        instance.answer(drain_line, done);
        CPPUNIT_ASSERT_EQUAL(0, run_on(instance, {"drain", "bk-1"}).status);
    }

    // Guards against telling an operator that nothing happened when an
    // earlier try may have been applied.
    void unknown_outcome_is_never_reported_as_not_applied()
    {
        auto& instance = fresh_control(0);
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
        CPPUNIT_ASSERT(has(result.err, "302 outcome_unknown"));
        auto const names = instance.operations();
        CPPUNIT_ASSERT(names.size() > 3);
        CPPUNIT_ASSERT(has(result.err, "--operation " + names.front()));
        for (auto const& name : names)
        {
            CPPUNIT_ASSERT_EQUAL(names.front(), name);
        }
    }

    // Guards against a member change applied twice: it has no operation.
    void lost_member_change_is_sent_once()
    {
        auto& first = fresh_control(0);
        auto& second = fresh_control(1);
        first.lose_answer(add_line);
        second.answer(add_line, done);
        auto const result =
            run_against({first.where(), second.where()}, add_words);
        CPPUNIT_ASSERT_EQUAL(302 % 256, result.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.lines().size());
        CPPUNIT_ASSERT(second.lines().empty());
        CPPUNIT_ASSERT(has(result.err, "`members` shows whether"));
        auto& slow = fresh_control(2);
        slow.answer(add_line, refusal(core::result_code::timed_out), 504);
        CPPUNIT_ASSERT_EQUAL(302 % 256, run_on(slow, add_words).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, slow.lines().size());
    }

    // A change that certainly was not applied is no lost change.
    void refused_member_change_goes_to_the_leader()
    {
        auto& follower = fresh_control(0);
        auto& leader = fresh_control(1);
        auto const where = leader.where();
        follower.redirect(add_line, &where);
        leader.answer(add_line, done);
        CPPUNIT_ASSERT_EQUAL(
            0,
            run_against({dead_instance, follower.where()}, add_words).status);
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                R"({"action":"add","http":"127.0.0.1:8","id":4,"rpc":"127.0.0.1:7"})"),
            leader.last_body());
    }

    // Guards against a crash or a false success on another server's answers.
    void strange_answers_are_errors()
    {
        for (char const* const body :
             {"", "[]", "{}", "not JSON", R"({"revision":"x"})"})
        {
            auto& odd = fresh_control(0);
            odd.answer(status_line, body);
            odd.answer("GET /v1/members", body, 500);
            CPPUNIT_ASSERT_EQUAL(702 % 256, run_on(odd, {"status"}).status);
            CPPUNIT_ASSERT_EQUAL(702 % 256, run_on(odd, {"members"}).status);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_client_test);

} // namespace turmericswitch::ctl
