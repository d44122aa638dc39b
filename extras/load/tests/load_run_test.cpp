#include "load/run/load_run.hpp"
#include "load/run/open_loop.hpp"
#include "load/schedule/schedule.hpp"
#include "web/web.hpp"
#include "wire/json/job_json.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace turmericswitch::load
{

namespace
{

using json = nlohmann::json;

/// Faults that the fake system injects once each, at different requests.
struct injected_faults
{
    /// Executes a non-idempotent request twice.
    bool double_write = false;
    /// Answers a read with the id of another request.
    bool wrong_answer = false;
    /// Executes a read and reports it as not run.
    bool false_refusal = false;
    /// Runs a job twice.
    bool double_job = false;
    /// Refuses every request, and accepts every job but runs none. Stays in
    /// effect.
    bool executes_nothing = false;
};

/// Simulates a gateway, a backend stand-in, control and a worker stand-in on
/// one port.
class fake_system
{
public:
    explicit fake_system(injected_faults faults) : m_faults(faults)
    {
        web::server_options options;
        options.listen_on = {"127.0.0.1", 0};
        options.worker_threads = 40;
        m_server =
            web::http_server::start(options,
                                    [this](web::http_request const& request)
                                    {
                                        std::lock_guard const lock(m_mutex);
                                        return answer(request);
                                    });
    }

    core::endpoint endpoint() const
    {
        return m_server->bound();
    }

private:
    web::http_response answer(web::http_request const& request)
    {
        if (request.target == "/standin/executions")
        {
            return executions();
        }
        if (request.target == "/metrics")
        {
            m_region_bytes += 1000;
            return web::text_response(
                "turmericswitch_gateway_region_bytes_total " +
                std::to_string(m_region_bytes) + "\n");
        }
        if (request.target == "/v1/jobs")
        {
            return accept_job(request);
        }
        return request.target.starts_with("/v1/jobs/")
                   ? web::json_response(R"({"state":"finished"})")
                   : run(request);
    }

    web::http_response run(web::http_request const& request)
    {
        if (m_faults.executes_nothing)
        {
            return web::error_response(core::result_code::not_ready, "no");
        }
        auto const id = *web::find_field(request.fields, "X-Request-Id");
        bool const is_keyed =
            web::find_field(request.fields, "Idempotency-Key") != nullptr;
        if (is_keyed && !m_keys.insert(id).second)
        {
            auto refusal = web::error_response(
                core::result_code::duplicate_request, "key in use");
            refusal.fields.push_back({"X-Request-Outcome", "outcome_unknown"});
            return refusal;
        }
        ++m_requests[id];
        if (request.method == "GET")
        {
            return answer_read(id);
        }
        if (!is_keyed && std::exchange(m_faults.double_write, false))
        {
            ++m_requests[id];
        }
        return success_response(id);
    }

    web::http_response answer_read(std::string const& id)
    {
        if (std::exchange(m_faults.wrong_answer, false))
        {
            return success_response("other");
        }
        if (std::exchange(m_faults.false_refusal, false))
        {
            auto refusal = web::error_response(
                core::result_code::deadline_exceeded, "late");
            refusal.fields.push_back({"X-Request-Outcome", "not_run"});
            return refusal;
        }
        return success_response(id);
    }

    static web::http_response success_response(std::string const& id)
    {
        auto response = web::json_response(json{{"id", id}}.dump());
        response.fields.push_back({"X-Request-Outcome", "ran"});
        return response;
    }

    web::http_response accept_job(web::http_request const& request)
    {
        auto const jobs = wire::jobs_from_json(request.body);
        auto const& name = jobs.value().at(0).name;
        // The first attempt of every submission is accepted but answered with
        // an error, so that the client retries it.
        if (m_operations.insert(json::parse(request.body)["operation"]).second)
        {
            if (m_faults.executes_nothing)
            {
                return web::json_response(R"({"jobs":[1]})");
            }
            m_jobs[name] += std::exchange(m_faults.double_job, false) ? 2 : 1;
            return web::error_response(core::result_code::outcome_unknown,
                                       "lost");
        }
        return web::json_response(json{{"jobs", {m_operations.size()}}}.dump());
    }

    web::http_response executions() const
    {
        json requests = json::array();
        for (auto const& [id, count] : m_requests)
        {
            requests.push_back({{"id", id}, {"count", count}});
        }
        json jobs = json::array();
        for (auto const& [name, count] : m_jobs)
        {
            jobs.push_back({{"name", name}, {"count", count}});
        }
        return web::json_response(json{
            {"executions", requests},
            {"finished", jobs},
            {"starts", 10 + m_jobs.size()},
            {"evictions", 5},
            {"permit_refusals", 0}}.dump());
    }

    std::mutex m_mutex;
    injected_faults m_faults;
    std::map<std::string, std::uint64_t> m_requests;
    std::set<std::string> m_keys;
    std::map<std::string, std::uint64_t> m_jobs;
    std::set<std::string> m_operations;
    std::uint64_t m_region_bytes = 0;
    std::unique_ptr<web::http_server> m_server;
};

scenario scenario_for(core::endpoint const& where)
{
    scenario settings;
    settings.gateways = {where, where};
    settings.duration = std::chrono::milliseconds(300);
    settings.seed = 3;
    settings.rate = 400;
    settings.threads = 8;
    settings.timeout = std::chrono::seconds(30);
    settings.requests.path = "/service";
    settings.requests.share_write = 0.2;
    settings.requests.share_keyed = 0.2;
    settings.requests.share_resend = 1;
    settings.backends = {where};
    settings.workers = {where};
    settings.jobs.emplace();
    settings.jobs->control = {where};
    settings.jobs->count = 3;
    settings.jobs->rate = 100;
    settings.jobs->wait_limit = std::chrono::minutes(1);
    job_kind kind;
    kind.name = "plan";
    kind.team = core::team_id("t");
    settings.jobs->kinds = {kind};
    return settings;
}

std::map<std::string, double> figures_of(report const& measured)
{
    std::map<std::string, double> values;
    for (auto const& entry : measured.figures)
    {
        values[entry.name] = entry.value;
    }
    return values;
}

} // namespace

class load_run_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_run_test);
    CPPUNIT_TEST(faultless_system_passes);
    CPPUNIT_TEST(each_fault_is_counted);
    CPPUNIT_TEST(unlisted_standin_fails_the_run);
    CPPUNIT_TEST(run_without_executions_fails);
    CPPUNIT_TEST(send_without_free_thread_is_counted);
    CPPUNIT_TEST_SUITE_END();

    // Guards against reported faults of a system that has none.
    void faultless_system_passes()
    {
        fake_system const system({});
        auto const settings = scenario_for(system.endpoint());
        auto const sends = plan_sends(settings);
        auto const measured = run_scenario(settings, "tag");
        CPPUNIT_ASSERT_MESSAGE(to_table(measured), has_passed(measured));
        auto values = figures_of(measured);
        auto const keyed =
            std::count_if(sends.begin(),
                          sends.end(),
                          [](planned_send const& send)
                          { return send.kind == request_kind::keyed_write; });
        auto const sent = static_cast<double>(sends.size());
        auto const resent = static_cast<double>(keyed) / 2;
        CPPUNIT_ASSERT(resent > 0);
        CPPUNIT_ASSERT_EQUAL(sent, values["requests_sent"]);
        CPPUNIT_ASSERT_EQUAL(resent, values["requests_duplicate_refused"]);
        CPPUNIT_ASSERT_EQUAL(sent - resent, values["requests_answered_whole"]);
        CPPUNIT_ASSERT_EQUAL(3.0, values["jobs_completed_once"]);
        CPPUNIT_ASSERT_EQUAL(0.0, values["jobs_not_accepted"]);
        CPPUNIT_ASSERT_EQUAL(3.0, values["task_starts"]);
        CPPUNIT_ASSERT_EQUAL(0.0, values["evictions"]);
        // Both gateways are the same fake, whose counter rises by 1000 at each
        // read: (3000 + 4000) - (1000 + 2000).
        CPPUNIT_ASSERT_EQUAL(4000.0, values["region_bytes"]);
    }

    // Guards against a violated guarantee that is not reported.
    void each_fault_is_counted()
    {
        fake_system const system({true, true, true, true, false});
        auto const measured =
            run_scenario(scenario_for(system.endpoint()), "tag");
        auto values = figures_of(measured);
        CPPUNIT_ASSERT(!has_passed(measured));
        CPPUNIT_ASSERT(measured.problems.empty());
        for (auto const* const name : {"writes_executed_twice",
                                       "requests_answered_wrong",
                                       "requests_not_run_but_executed",
                                       "jobs_completed_twice"})
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1.0, values[name]);
        }
    }

    // Guards against a run that passes although a stand-in that executed
    // requests was not queried.
    void unlisted_standin_fails_the_run()
    {
        fake_system const system({});
        fake_system const idle({});
        auto settings = scenario_for(system.endpoint());
        settings.jobs.reset();
        settings.backends = {idle.endpoint()};
        CPPUNIT_ASSERT(!has_passed(run_scenario(settings, "tag")));
        settings.backends.clear();
        CPPUNIT_ASSERT(!has_passed(run_scenario(settings, "tag2")));
    }

    // Guards against a run that passes although nothing was executed, so that
    // no guarantee was tested.
    void run_without_executions_fails()
    {
        fake_system const system({false, false, false, false, true});
        auto const measured =
            run_scenario(scenario_for(system.endpoint()), "tag");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, measured.problems.size());
    }

    // Guards against unreported queueing inside the load generator. The only
    // thread is busy with the first send when the second is due.
    void send_without_free_thread_is_counted()
    {
        using std::chrono::milliseconds;
        auto const delays = run_open_loop(
            {milliseconds(0), milliseconds(20)},
            1,
            [](std::size_t index, std::chrono::steady_clock::time_point due)
            {
                if (index == 0)
                {
                    std::this_thread::sleep_until(due + milliseconds(40));
                }
            });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delays.no_free_thread);
        CPPUNIT_ASSERT(delays.max_delay_ms >= 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_run_test);

} // namespace turmericswitch::load
