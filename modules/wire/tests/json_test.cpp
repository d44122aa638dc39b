#include "core/results/last_reason.hpp"
#include "wire/json/job_json.hpp"
#include "wire/json/worker_json.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::wire
{

using namespace std::chrono_literals;

class json_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(json_test);
    CPPUNIT_TEST(heartbeat_round_trip);
    CPPUNIT_TEST(heartbeat_answer_round_trip);
    CPPUNIT_TEST(missing_member_is_named_in_error);
    CPPUNIT_TEST(job_with_deadline_round_trip);
    CPPUNIT_TEST(invalid_jobs_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    static core::heartbeat_request sample_request()
    {
        core::heartbeat_request request;
        request.worker.worker = core::worker_id("w1");
        request.worker.life = core::incarnation(5);
        request.worker.place = {core::zone_id("az-a"), core::region_id("n")};
        request.worker.rack = core::rack_id("r1");
        request.worker.capacity.cpu = core::millicores(32000);
        request.sent_at = 1500ms;
        request.report_sequence = 3;
        request.held = {{core::job_id(1), core::attempt_number(2)}};
        request.reports = {{core::job_id(1),
                            core::attempt_number(2),
                            core::task_event::stopped,
                            core::checkpoint_id("c1"),
                            core::result_code::ok,
                            "evicted"}};
        request.usage = {{core::job_id(1),
                          core::attempt_number(2),
                          30s,
                          {core::millicores(10), {}, {}},
                          1400}};
        return request;
    }

    // Guards against a member of a report or usage sample that isn't encoded
    // or decoded.
    void heartbeat_round_trip()
    {
        auto const request = sample_request();
        CPPUNIT_ASSERT(heartbeat_request_from_json(
                           heartbeat_request_to_json(request)) == request);
    }

    // Guards against orders whose permit, lease or checkpoint isn't encoded or
    // decoded.
    void heartbeat_answer_round_trip()
    {
        core::heartbeat_answer answer;
        answer.sent_at = 1500ms;
        answer.next_heartbeat = 400ms;
        answer.starts.push_back({core::job_id(4),
                                 core::attempt_number(1),
                                 core::task_kind("k"),
                                 {core::millicores(5), {}, {}},
                                 core::checkpoint_id("c9"),
                                 "run",
                                 3s,
                                 60s});
        answer.renewals = {{core::job_id(1), core::attempt_number(2), 60s}};
        answer.orders = {{core::job_id(1),
                          core::attempt_number(2),
                          core::task_action::throttle,
                          500}};
        CPPUNIT_ASSERT(heartbeat_answer_from_json(
                           heartbeat_answer_to_json(answer)) == answer);
    }

    // Guards against error texts that don't name the invalid member.
    void missing_member_is_named_in_error()
    {
        CPPUNIT_ASSERT(!heartbeat_request_from_json("{\"sent_at_ms\": 1}"));
        CPPUNIT_ASSERT_EQUAL(std::string("member worker is missing"),
                             core::last_reason().text);
        CPPUNIT_ASSERT(!heartbeat_request_from_json("[1"));
    }

    // Guards against a deadline that is read or written in local time.
    void job_with_deadline_round_trip()
    {
        core::job_description job;
        job.name = "layout";
        job.team = core::team_id("t");
        job.kind = core::task_kind("k");
        job.deadline = wall_time_from_text("2026-12-05T06:00:00Z");
        CPPUNIT_ASSERT(job.deadline.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("2026-12-05T06:00:00Z"),
                             wall_time_to_text(*job.deadline));
        auto const jobs = jobs_from_json(jobs_to_json({job}));
        CPPUNIT_ASSERT(jobs && jobs->size() == 1 && jobs->front() == job);
    }

    // Guards against accepting invalid jobs, which would only fail later.
    void invalid_jobs_are_rejected()
    {
        CPPUNIT_ASSERT(!jobs_from_json(R"({"jobs": []})"));
        CPPUNIT_ASSERT(!jobs_from_json(
            R"({"jobs": [{"name":"a","team":"t","kind":"k",
                "resources":{"cpu_millicores":-1},
                "expected_run_time_ms":1}]})"));
        CPPUNIT_ASSERT_EQUAL(std::string("member cpu_millicores is negative"),
                             core::last_reason().text);
        CPPUNIT_ASSERT(!job_ids_from_json(R"({"jobs": ["x"]})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(json_test);

} // namespace turmericswitch::wire
