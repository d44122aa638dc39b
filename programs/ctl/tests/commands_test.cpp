#include "fake_control.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace turmericswitch::ctl
{

namespace
{

using json = nlohmann::json;
using strings = std::vector<std::string>;

constexpr char const* zone_a = "zone az-a region=north # asked by Nadif: one\n";
constexpr char const* zone_b = "zone az-b region=north # asked by Lomos: two\n";

std::string temporary_path(std::string const& name)
{
    return (std::filesystem::temp_directory_path() /
            ("ctl_test_" + std::to_string(getpid()) + "_" + name))
        .string();
}

/// A file that is removed at the end of its scope.
struct temporary_file
{
    temporary_file(std::string const& name, std::string const& text)
        : path(temporary_path(name))
    {
        std::ofstream(path) << text;
    }
    ~temporary_file()
    {
        std::filesystem::remove(path);
    }
    temporary_file(temporary_file const&) = delete;
    temporary_file& operator=(temporary_file const&) = delete;

    std::string path;
};

std::string rules(std::uint64_t revision, std::string const& text)
{
    return json{{"revision", revision}, {"text", text}}.dump();
}

std::string reply(std::uint64_t revision)
{
    return json{{"code", 0}, {"text", ""}, {"revision", revision}}.dump();
}

/// @param in_force Revision that the only process reports.
std::string status(std::string const& zone_state, int quiet_in_ms, int in_force)
{
    json zone{{"zone", "az-a"}, {"region", "north"}, {"state", zone_state}};
    if (quiet_in_ms >= 0)
    {
        zone["quiet_in_ms"] = quiet_in_ms;
    }
    return json{{"term", 2},
                {"commit_index", 9},
                {"revision", 5},
                {"workers", 10},
                {"backends", 3},
                {"storage_failed", false},
                {"jobs", {{"queued", 12}}},
                {"leader",
                 {{"id", 1}, {"rpc", "r"}, {"http", "h"}, {"learner", false}}},
                {"zones", {zone}},
                {"processes",
                 {{{"name", "gw-1"}, {"in_force", in_force}, {"age_ms", 7}}}}}
        .dump();
}

/// @return A status with member 1 as the leader and the given other members.
std::string group_status(std::vector<json> const& others, int losses_borne)
{
    json const leader{{"id", 1},
                      {"rpc", "1.1.1.1:1"},
                      {"http", "1.1.1.1:2"},
                      {"role", "leader"},
                      {"lag", 0}};
    std::vector<json> members{leader};
    members.insert(members.end(), others.begin(), others.end());
    auto document = json::parse(status("in", 40, 5));
    document["group"] = {{"losses_borne", losses_borne}, {"members", members}};
    return document.dump();
}

json other_member(int id, std::string const& role, int lag, int answer_ms)
{
    auto const address = "1.1.1." + std::to_string(id);
    return {{"id", id},
            {"rpc", address + ":1"},
            {"http", address + ":2"},
            {"role", role},
            {"lag", lag},
            {"answered", true},
            {"answer_ms", answer_ms}};
}

constexpr char const* job =
    R"({"id":17,"name":"plan","team":"routing","kind":"plan",)"
    R"("state":"failed","attempt":2,"failures":3,"last_worker":"w-1",)"
    R"("worker":"w-1","code":504,"code_name":"job_failed",)"
    R"("reason":"exit 3"})";

constexpr char const* members =
    R"({"members":[{"id":1,"rpc":"1.1.1.1:1","http":"1.1.1.1:2",)"
    R"("learner":false},{"id":4,"rpc":"1.1.1.4:1","http":"1.1.1.4:2",)"
    R"("learner":true}]})";

} // namespace

class commands_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(commands_test);
    CPPUNIT_TEST(wrong_command_lines_exit_with_2);
    CPPUNIT_TEST(help_version_and_settings);
    CPPUNIT_TEST(exit_status_is_nonzero_for_every_error);
    CPPUNIT_TEST(check_reports_the_position_of_every_error);
    CPPUNIT_TEST(diff_shows_requesters);
    CPPUNIT_TEST(apply_replaces_the_revision_in_force);
    CPPUNIT_TEST(invalid_file_is_not_sent);
    CPPUNIT_TEST(conflict_reports_the_winning_author_and_the_next_step);
    CPPUNIT_TEST(wait_lists_processes_that_are_behind);
    CPPUNIT_TEST(zone_out_waits_until_the_zone_is_quiet);
    CPPUNIT_TEST(zone_and_drain_requests);
    CPPUNIT_TEST(writes_need_an_author);
    CPPUNIT_TEST(submit_and_cancel_requests);
    CPPUNIT_TEST(lists_are_aligned_tables);
    CPPUNIT_TEST(failed_job_is_shown_not_reported_as_error);
    CPPUNIT_TEST(explain_merges_all_instances);
    CPPUNIT_TEST(json_prints_the_answer_body);
    CPPUNIT_TEST(status_shows_members_and_the_losses_borne);
    CPPUNIT_TEST(status_of_a_group_without_redundancy);
    CPPUNIT_TEST(status_without_a_group_is_accepted);
    CPPUNIT_TEST_SUITE_END();

    // Guards against another exit status than 2, by which scripts recognize a
    // wrong command line.
    void wrong_command_lines_exit_with_2()
    {
        for (strings const& words : std::vector<strings>{
                 {},
                 {"zone"},
                 {"zone", "up", "az-a"},
                 {"apply"},
                 {"cancel"},
                 {"explain"},
                 {"members", "add", "4"},
                 {"status", "--wait", "3"},
                 {"jobs", "--limit", "0"},
                 {"job", "seven"},
                 {"cancel", "1", "-2"},
                 {"apply", "f", "--expect-revision", "x"},
                 {"apply", "f", "--wait", "-1"},
                 {"members", "remove", "0"},
                 {"members", "add", "4", "localhost:1", "1.2.3.4:5"},
                 {"members", "add", "4", "1.2.3.4:1", "1.2.3.4:0"},
                 {"--control", "nowhere", "status"},
                 {"--check-config"},
                 {"status"}})
        {
            auto const result = run(words);
            CPPUNIT_ASSERT_EQUAL(2, result.status);
            CPPUNIT_ASSERT(result.out.empty() && !result.err.empty());
        }
    }

    void help_version_and_settings()
    {
        CPPUNIT_ASSERT(contains(run({"--help"}).out, "--expect-revision N"));
        CPPUNIT_ASSERT_EQUAL(std::string("turmericswitch-ctl 0.1.0\n"),
                             run({"--version"}).out);
        temporary_file const bad("bad.ini",
                                 "[ctl]\ncontrol = here\nlimit = 3\n");
        auto const refused = run({"--config", bad.path, "status"});
        CPPUNIT_ASSERT_EQUAL(103, refused.status);
        CPPUNIT_ASSERT(contains(refused.err, bad.path + ":2:"));
        CPPUNIT_ASSERT(contains(refused.err, bad.path + ":3:"));
        auto& control = reset_instance(0);
        control.answer("GET /v1/members", members);
        temporary_file const good(
            "good.ini",
            "[ctl]\ncontrol = " + to_string(control.endpoint()) +
                "\nauthor = nadif\ntimeout = 2s\n");
        CPPUNIT_ASSERT_EQUAL(
            0, run({"--config", good.path, "--check-config"}).status);
        CPPUNIT_ASSERT_EQUAL(0, run({"members", "--config", good.path}).status);
    }

    // Guards against reporting success for a result code that is a multiple of
    // 256.
    void exit_status_is_nonzero_for_every_error()
    {
        for (auto const& row : core::result_code_table())
        {
            auto const status = exit_status(row.code);
            CPPUNIT_ASSERT(status >= 0 && status < 256);
            CPPUNIT_ASSERT_EQUAL(row.code == core::result_code::ok,
                                 status == 0);
        }
        CPPUNIT_ASSERT_EQUAL(1, exit_status(core::result_code(512)));
        CPPUNIT_ASSERT_EQUAL(146, exit_status(core::result_code(402)));
    }

    // Guards against errors without file, line and column, and against
    // reporting only the first one.
    void check_reports_the_position_of_every_error()
    {
        temporary_file const file(
            "bad.rules", std::string("zone az-a\n") + zone_b + "zone az-c\n");
        auto const result = run({"check", file.path});
        CPPUNIT_ASSERT_EQUAL(201, result.status);
        CPPUNIT_ASSERT(contains(
            result.err, file.path + ":1:10: 201 rule_syntax: expected"));
        CPPUNIT_ASSERT(
            contains(result.err, file.path + ":3:10: 201 rule_syntax"));
        auto const list = json::parse(run({"--json", "check", file.path}).out);
        CPPUNIT_ASSERT_EQUAL(3, list["errors"][1]["line"].get<int>());
        temporary_file const twice("twice.rules", std::string(zone_a) + zone_a);
        auto const compiled = run({"check", twice.path});
        CPPUNIT_ASSERT_EQUAL(205, compiled.status);
        CPPUNIT_ASSERT(contains(compiled.err, twice.path + ":2:"));
        temporary_file const good("good.rules", zone_a);
        CPPUNIT_ASSERT_EQUAL(0, run({"check", good.path}).status);
        CPPUNIT_ASSERT_EQUAL(95, run({"check", temporary_path("none")}).status);
        CPPUNIT_ASSERT_EQUAL(95, run({"check", "/"}).status);
    }

    void diff_shows_requesters()
    {
        auto& control = reset_instance(0);
        control.answer("GET /v1/rules", rules(5, zone_a));
        temporary_file const file("new.rules",
                                  "zone az-a region=south # asked by Ann: x\n" +
                                      std::string(zone_b));
        auto const result = run_on(control, {"diff", file.path});
        CPPUNIT_ASSERT_EQUAL(0, result.status);
        CPPUNIT_ASSERT(
            contains(result.out, "revision 5: 1 added, 0 removed, 1 changed"));
        CPPUNIT_ASSERT(contains(result.out, "+ zone az-b"));
        CPPUNIT_ASSERT(contains(result.out, "(asked by Lomos)"));
        CPPUNIT_ASSERT(contains(result.out, "(asked by Ann)"));
    }

    void apply_replaces_the_revision_in_force()
    {
        auto& control = reset_instance(0);
        control.answer("GET /v1/rules", rules(5, zone_a));
        control.answer("POST /v1/rules", reply(6));
        temporary_file const file("new.rules", zone_b);
        auto const result =
            run_on(control, {"apply", file.path, "--operation", "night-1"});
        CPPUNIT_ASSERT_EQUAL(0, result.status);
        CPPUNIT_ASSERT(contains(result.out, "revision 6"));
        json const expected{{"operation", "night-1"},
                            {"author", "nadif"},
                            {"replaces", 5},
                            {"text", zone_b}};
        CPPUNIT_ASSERT(expected == json::parse(control.last_body()));
        run_on(control, {"apply", file.path, "--expect-revision", "3"});
        CPPUNIT_ASSERT_EQUAL(
            3, json::parse(control.last_body())["replaces"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, control.request_lines().size());
    }

    // Guards against sending a file with errors to control.
    void invalid_file_is_not_sent()
    {
        auto& control = reset_instance(0);
        temporary_file const file("bad.rules", "zone az-a\n");
        for (char const* const command : {"apply", "diff"})
        {
            auto const result = run_on(control, {command, file.path});
            CPPUNIT_ASSERT_EQUAL(201, result.status);
            CPPUNIT_ASSERT(contains(result.err, file.path + ":1:10: 201"));
        }
        CPPUNIT_ASSERT_EQUAL(254,
                             run_on(control, {"submit", file.path}).status);
        CPPUNIT_ASSERT(control.request_lines().empty());
    }

    void conflict_reports_the_winning_author_and_the_next_step()
    {
        auto& control = reset_instance(0);
        control.answer("POST /v1/rules",
                       R"({"code":402,"name":"revision_conflict",)"
                       R"("text":"revision 8 by lomos is in force",)"
                       R"("revision":8,"winner":"lomos"})",
                       409);
        temporary_file const file("new.rules", zone_a);
        auto const result =
            run_on(control, {"apply", file.path, "--expect-revision", "7"});
        CPPUNIT_ASSERT_EQUAL(402 % 256, result.status);
        CPPUNIT_ASSERT(contains(result.err, "402 revision_conflict"));
        CPPUNIT_ASSERT(contains(result.err, "next: lomos made revision 8"));
        CPPUNIT_ASSERT(contains(result.err, "--expect-revision 8"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control.request_lines().size());
    }

    void wait_lists_processes_that_are_behind()
    {
        auto& control = reset_instance(0);
        control.answer("POST /v1/rules", reply(6));
        control.answer("GET /v1/status", status("in", -1, 5));
        temporary_file const file("new.rules", zone_a);
        strings const words{
            "apply", file.path, "--expect-revision", "5", "--wait", "3"};
        auto const outdated = run_on(control, words);
        CPPUNIT_ASSERT_EQUAL(408 % 256, outdated.status);
        CPPUNIT_ASSERT(contains(outdated.out, "revision 6"));
        CPPUNIT_ASSERT(contains(outdated.err, "1 of 1 processes"));
        CPPUNIT_ASSERT(contains(outdated.err, "gw-1"));
        control.answer("GET /v1/status", status("in", -1, 6));
        auto const good = run_on(control, words);
        CPPUNIT_ASSERT_EQUAL(0, good.status);
        CPPUNIT_ASSERT(contains(good.out, "in force on all 1 processes"));
    }

    // Guards against --wait returning while a task can still start in the zone.
    void zone_out_waits_until_the_zone_is_quiet()
    {
        auto const names =
            "name zone short=az-a dns=a.example # asked by Nadif: x\n" +
            std::string(zone_a);
        auto& control = reset_instance(0);
        control.answer("POST /v1/zones/a.example/out", reply(6));
        control.answer("GET /v1/rules", rules(6, names));
        // The zone is not out yet, then out with unknown quiet time, then not
        // quiet yet, then quiet.
        control.answer("GET /v1/status", status("in", 0, 5));
        control.answer("GET /v1/status", status("out", -1, 5));
        control.answer("GET /v1/status", status("out", 1500, 5));
        control.answer("GET /v1/status", status("out", 0, 5));
        strings const words{"zone", "out", "a.example", "--wait", "9"};
        CPPUNIT_ASSERT_EQUAL(0, run_on(control, words).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, control.request_lines().size());
        control.answer("GET /v1/status", status("out", 900, 5));
        // This run uses up the status with 0 ms, so that only the one with
        // 900 ms is left.
        run_on(control, words);
        auto const outdated = run_on(control, words);
        CPPUNIT_ASSERT_EQUAL(408 % 256, outdated.status);
        CPPUNIT_ASSERT(
            contains(outdated.err, "can still take effect in a.example"));
    }

    void zone_and_drain_requests()
    {
        auto& control = reset_instance(0);
        control.answer("POST /v1/zones/az-a/in", reply(7));
        control.answer("POST /v1/backends/bk%2F1/drain", reply(8));
        CPPUNIT_ASSERT_EQUAL(
            0,
            run_on(control, {"zone", "in", "az-a", "--asked-by", "Lomos"})
                .status);
        auto body = json::parse(control.last_body());
        CPPUNIT_ASSERT_EQUAL(std::string("Lomos"),
                             body["requested_by"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("nadif"),
                             body["author"].get<std::string>());
        for (bool const drains : {true, false})
        {
            auto const* const word = drains ? "drain" : "undrain";
            CPPUNIT_ASSERT_EQUAL(0, run_on(control, {word, "bk/1"}).status);
            body = json::parse(control.last_body());
            CPPUNIT_ASSERT_EQUAL(drains, body["draining"].get<bool>());
        }
    }

    void writes_need_an_author()
    {
        auto& control = reset_instance(0);
        temporary_file const file("new.rules", zone_a);
        auto const endpoint = to_string(control.endpoint());
        for (strings const& words : std::vector<strings>{
                 {"apply", file.path}, {"zone", "out", "a"}, {"drain", "b"}})
        {
            strings line{"--control", endpoint};
            line.insert(line.end(), words.begin(), words.end());
            auto const result = run(line);
            CPPUNIT_ASSERT_EQUAL(2, result.status);
            CPPUNIT_ASSERT(contains(result.err, "next: add --author NAME"));
        }
        CPPUNIT_ASSERT(control.request_lines().empty());
    }

    void submit_and_cancel_requests()
    {
        auto& control = reset_instance(0);
        control.answer("POST /v1/jobs",
                       R"({"code":0,"text":"","revision":1,"jobs":[17]})");
        control.answer("POST /v1/jobs/cancel",
                       R"({"code":0,"text":"cancelled 2"})");
        auto const submitted =
            run_on(control,
                   {"submit",
                    TURMERICSWITCH_SOURCE_DIR "/programs/ctl/tests/jobs.json",
                    "--operation",
                    "night"});
        CPPUNIT_ASSERT_EQUAL(std::string("accepted 1 jobs: 17\n"),
                             submitted.out);
        auto const body = json::parse(control.last_body());
        CPPUNIT_ASSERT_EQUAL(std::string("night"),
                             body["operation"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("plan-north"),
                             body["jobs"][0]["name"].get<std::string>());
        auto const cancelled = run_on(control, {"cancel", "17", "18"});
        CPPUNIT_ASSERT_EQUAL(std::string("cancelled 2\n"), cancelled.out);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"jobs":[17,18]})"),
                             control.last_body());
    }

    void lists_are_aligned_tables()
    {
        auto& control = reset_instance(0);
        control.answer("GET /v1/history?limit=2",
                       R"({"changes":[{"revision":12,"author":"nadif",)"
                       R"("requested_by":"Ann","time":"T","change":"a\nb\n"},)"
                       R"({"revision":3,"author":"lo","requested_by":"",)"
                       R"("time":"T","change":"c"}]})");
        control.answer("GET /v1/jobs?limit=1&state=failed",
                       "{\"jobs\":[" + std::string(job) + "]}");
        control.answer("GET /v1/members", members);
        control.answer("GET /v1/rules", rules(5, zone_a));
        control.answer("GET /v1/status", status("out", 40, 5));
        auto const out = [&control](strings const& words)
        { return run_on(control, words).out; };
        CPPUNIT_ASSERT_EQUAL(
            std::string("REVISION  TIME  AUTHOR  ASKED BY  CHANGE\n"
                        "12        T     nadif   Ann       a (and 1 more)\n"
                        "3         T     lo      -         c\n"),
            out({"history", "--limit", "2"}));
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                "ID  NAME  TEAM     KIND  STATE   ATTEMPT  WORKER  REASON\n"
                "17  plan  routing  plan  failed  2        w-1     exit 3\n"),
            out({"jobs", "--state", "failed", "--limit", "1"}));
        CPPUNIT_ASSERT_EQUAL(std::string("ID  RPC        HTTP       ROLE\n"
                                         "1   1.1.1.1:1  1.1.1.1:2  voter\n"
                                         "4   1.1.1.4:1  1.1.1.4:2  learner\n"),
                             out({"members"}));
        CPPUNIT_ASSERT_EQUAL(std::string(zone_a), out({"show"}));
        auto const text = out({"status"});
        CPPUNIT_ASSERT(contains(text, "leader    member 1 at h, term 2"));
        CPPUNIT_ASSERT(contains(text, "az-a  north   out    in 40 ms\n"));
        CPPUNIT_ASSERT(contains(text, "gw-1     5         7 ms ago\n"));
    }

    // Guards against taking a job's own result code for the code of the answer.
    void failed_job_is_shown_not_reported_as_error()
    {
        auto& control = reset_instance(0);
        control.answer("GET /v1/jobs/17", job);
        auto const result = run_on(control, {"job", "17"});
        CPPUNIT_ASSERT_EQUAL(0, result.status);
        CPPUNIT_ASSERT(contains(result.out, "result       job_failed"));
    }

    // Guards against missing decisions of former leaders: each instance keeps
    // only its own.
    void explain_merges_all_instances()
    {
        auto& former = reset_instance(0);
        auto& leader = reset_instance(1);
        constexpr char const* line = "GET /v1/explain/job%2017";
        former.answer(line, R"({"decisions":[{"line":"job 17: place"}]})");
        leader.answer(line, R"({"decisions":[]})");
        auto const result = run_against(
            {leader.endpoint(), unreachable_instance, former.endpoint()},
            {"explain", "job", "17"});
        CPPUNIT_ASSERT_EQUAL(std::string("job 17: place\n"), result.out);
        auto const none = run_on(leader, {"explain", "job 17"});
        CPPUNIT_ASSERT_EQUAL(0, none.status);
        CPPUNIT_ASSERT(contains(none.err, "no decision about job 17"));
        CPPUNIT_ASSERT_EQUAL(
            704 % 256,
            run_against({unreachable_instance}, {"explain", "x"}).status);
    }

    void json_prints_the_answer_body()
    {
        auto& control = reset_instance(0);
        control.answer("GET /v1/members", members);
        control.answer("GET /v1/jobs/9",
                       R"({"code":501,"name":"job_unknown","text":"none"})",
                       404);
        CPPUNIT_ASSERT_EQUAL(members + std::string("\n"),
                             run_on(control, {"members", "--json"}).out);
        auto const refused = run_on(control, {"--json", "job", "9"});
        CPPUNIT_ASSERT_EQUAL(501 % 256, refused.status);
        CPPUNIT_ASSERT_EQUAL(501, json::parse(refused.out)["code"].get<int>());
        CPPUNIT_ASSERT(contains(refused.err, "501 job_unknown: none"));
    }

    // Guards against an operator who can't see how many instances may be lost.
    void status_shows_members_and_the_losses_borne()
    {
        auto& control = reset_instance(0);
        auto const body = group_status(
            {other_member(2, "voter", 0, 12), other_member(3, "voter", 3, 90)},
            1);
        control.answer("GET /v1/status", body);
        CPPUNIT_ASSERT(
            contains(run_on(control, {"status"}).out,
                     "\nMEMBER  ADDRESS    ROLE    LAG  LAST ANSWER\n"
                     "1       1.1.1.1:1  leader  0    -\n"
                     "2       1.1.1.2:1  voter   0    12 ms ago\n"
                     "3       1.1.1.3:1  voter   3    90 ms ago\n"
                     "bears the loss of 1 instances\n"));
        CPPUNIT_ASSERT_EQUAL(body + "\n",
                             run_on(control, {"status", "--json"}).out);
    }

    // Guards against a learner that looks like a voter, and against a member
    // that never answered and looks like one that did.
    void status_of_a_group_without_redundancy()
    {
        auto& control = reset_instance(0);
        auto unheard = other_member(3, "voter", 900, 4000);
        unheard["answered"] = false;
        control.answer("GET /v1/status",
                       group_status({other_member(2, "voter", 0, 12),
                                     unheard,
                                     other_member(4, "learner", 700, 20)},
                                    0));
        CPPUNIT_ASSERT(
            contains(run_on(control, {"status"}).out,
                     "3       1.1.1.3:1  voter    900  none for 4000 ms\n"
                     "4       1.1.1.4:1  learner  700  20 ms ago\n"
                     "bears the loss of 0 instances\n"));
    }

    // Guards against a status that can't be read from a former leader or from
    // control of an earlier version.
    void status_without_a_group_is_accepted()
    {
        auto& control = reset_instance(0);
        control.answer("GET /v1/status", status("in", 40, 5));
        auto const result = run_on(control, {"status"});
        CPPUNIT_ASSERT_EQUAL(0, result.status);
        CPPUNIT_ASSERT(!contains(result.out, "bears the loss"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(commands_test);

} // namespace turmericswitch::ctl
