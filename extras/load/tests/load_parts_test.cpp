#include "core/results/last_reason.hpp"
#include "load/figures/comparison.hpp"
#include "load/figures/latency_summary.hpp"
#include "load/figures/request_tally.hpp"
#include "load/run/daemon_usage.hpp"
#include "load/run/free_ports.hpp"
#include "load/run/job_load.hpp"
#include "load/run/request_load.hpp"
#include "load/run/standin_client.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace turmericswitch::load
{

class load_parts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_parts_test);
    CPPUNIT_TEST(plan_follows_the_scenario_and_the_seed);
    CPPUNIT_TEST(percentile_is_the_smallest_value_that_covers_its_share);
    CPPUNIT_TEST(tally_counts_each_broken_promise);
    CPPUNIT_TEST(answers_are_classified);
    CPPUNIT_TEST(jobs_are_counted_by_name);
    CPPUNIT_TEST(scenario_errors_have_their_line);
    CPPUNIT_TEST(scenario_values_are_read);
    CPPUNIT_TEST(texts_of_other_programs_are_read);
    CPPUNIT_TEST(ratios_have_their_spread);
    CPPUNIT_TEST(unchecked_promise_is_not_kept);
    CPPUNIT_TEST(free_ports_differ);
    CPPUNIT_TEST_SUITE_END();

    static scenario mixed_scenario()
    {
        scenario settings;
        settings.gateways = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
        settings.duration = std::chrono::seconds(100);
        settings.seed = 7;
        settings.rate = 200;
        settings.requests.share_write = 0.2;
        settings.requests.share_keyed = 0.3;
        settings.requests.share_resend = 0.5;
        settings.requests.work_mean_ms = 5;
        settings.requests.work_sigma = 0.8;
        return settings;
    }

    static bool is_same(planned_send const& a, planned_send const& b)
    {
        return a.due == b.due && a.request == b.request && a.kind == b.kind &&
               a.gateway == b.gateway && a.work_us == b.work_us;
    }

    // Guards against a load whose mix or mean differs from what the report
    // names, and against runs with one seed that differ.
    void plan_follows_the_scenario_and_the_seed()
    {
        auto settings = mixed_scenario();
        auto const sends = plan_sends(settings);
        auto const again = plan_sends(settings);
        CPPUNIT_ASSERT(std::equal(
            sends.begin(), sends.end(), again.begin(), again.end(), is_same));
        std::map<std::size_t, planned_send> first;
        std::map<request_kind, double> kinds;
        double work = 0;
        double resends = 0;
        core::duration last{};
        for (auto const& send : sends)
        {
            CPPUNIT_ASSERT(send.due >= last);
            last = send.due;
            if (auto const [found, is_new] = first.insert({send.request, send});
                !is_new)
            {
                ++resends;
                CPPUNIT_ASSERT(send.kind == request_kind::keyed_write);
                CPPUNIT_ASSERT(send.gateway != found->second.gateway);
                continue;
            }
            ++kinds[send.kind];
            work += static_cast<double>(send.work_us);
        }
        auto const count = static_cast<double>(first.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20'000, count, 600);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            0.2, kinds[request_kind::write] / count, 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            0.3, kinds[request_kind::keyed_write] / count, 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            0.5, resends / kinds[request_kind::keyed_write], 0.03);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5000, work / count, 250);
        settings.seed = 8;
        CPPUNIT_ASSERT(plan_sends(settings)[0].due != sends[0].due);
    }

    // Guards against off-by-one ranks, which understate the tail.
    void percentile_is_the_smallest_value_that_covers_its_share()
    {
        std::vector<double> thousand;
        for (int i = 1; i <= 1000; ++i)
        {
            thousand.push_back(1001 - i);
        }
        auto const summary = summarize(thousand);
        CPPUNIT_ASSERT_EQUAL(500.0, summary.p50);
        CPPUNIT_ASSERT_EQUAL(990.0, summary.p99);
        CPPUNIT_ASSERT_EQUAL(999.0, summary.p999);
        CPPUNIT_ASSERT_EQUAL(1000.0, summary.max);
        testing::check_property(
            "percentile",
            {},
            []
            {
                auto values =
                    *rc::gen::nonEmpty(rc::gen::container<std::vector<double>>(
                        rc::gen::cast<double>(rc::gen::inRange(0, 50))));
                auto const percent = *rc::gen::inRange<std::size_t>(1, 101);
                std::sort(values.begin(), values.end());
                double const found =
                    percentile(values, static_cast<double>(percent) / 100.0);
                auto const [low, high] =
                    std::equal_range(values.begin(), values.end(), found);
                RC_ASSERT(static_cast<std::size_t>(high - values.begin()) *
                              100 >=
                          percent * values.size());
                RC_ASSERT(static_cast<std::size_t>(low - values.begin()) * 100 <
                          percent * values.size());
            });
    }

    struct tally_case
    {
        request_kind kind;
        std::vector<send_end> ends;
        std::uint64_t executed;
        std::uint64_t lied;
        std::uint64_t twice;
        std::uint64_t unseen;
    };

    // Guards against a fault of the system that the report doesn't show, and
    // against permitted behaviour reported as a fault.
    void tally_counts_each_broken_promise()
    {
        using enum request_kind;
        using enum send_end;
        std::vector<tally_case> const cases{
            {read, {answered_whole}, 1, 0, 0, 0},
            {read, {answered_whole}, 3, 0, 0, 0},
            {read, {answered_whole}, 0, 0, 0, 1},
            {read, {not_run}, 0, 0, 0, 0},
            {read, {not_run}, 1, 1, 0, 0},
            {write, {answered_whole}, 2, 0, 1, 0},
            {write, {not_run}, 1, 1, 0, 0},
            {write, {not_run}, 2, 1, 1, 0},
            {write, {outcome_unknown}, 1, 0, 0, 0},
            {write, {outcome_unknown}, 0, 0, 0, 0},
            {write, {lost}, 2, 0, 1, 0},
            {keyed_write, {answered_whole, duplicate}, 1, 0, 0, 0},
            {keyed_write, {not_run, answered_whole}, 1, 0, 0, 0},
            {keyed_write, {not_run, duplicate}, 1, 1, 0, 0},
            {keyed_write, {answered_whole, outcome_unknown}, 2, 0, 1, 0}};
        for (std::size_t i = 0; i < cases.size(); ++i)
        {
            auto const& one = cases[i];
            std::vector<planned_send> sends;
            std::vector<send_result> results;
            for (auto const end : one.ends)
            {
                sends.push_back({{}, 4, one.kind, 0, 0});
                results.push_back({end, 1});
            }
            auto const tally = tally_requests(
                sends, results, "t", {{"t-4", one.executed}, {"u-4", 9}});
            auto const name = "case " + std::to_string(i);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                name, one.lied, tally.not_run_but_executed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, one.twice, tally.executed_twice);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                name, one.unseen, tally.answered_not_executed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                name, std::uint64_t{one.ends.size()}, tally.sent);
        }
    }

    static send_end
    class_of(std::uint16_t status, std::string outcome, std::string body)
    {
        web::http_result result;
        result.outcome = web::http_outcome::answered;
        result.response.status = status;
        result.response.body = std::move(body);
        if (!outcome.empty())
        {
            result.response.fields.push_back(
                {"x-request-outcome", std::move(outcome)});
        }
        return classify(result, "me");
    }

    // Guards against another caller's answer, or a cut one, that counts as
    // whole.
    void answers_are_classified()
    {
        using enum send_end;
        CPPUNIT_ASSERT(class_of(200, "ran", R"({"id":"me"})") ==
                       answered_whole);
        CPPUNIT_ASSERT(class_of(200, "", R"({"id":"me"})") == answered_whole);
        CPPUNIT_ASSERT(class_of(200, "ran", R"({"id":"you"})") ==
                       answered_wrong);
        CPPUNIT_ASSERT(class_of(200, "ran", R"({"id":"me)") == answered_wrong);
        CPPUNIT_ASSERT(class_of(200, "ran", "") == answered_wrong);
        CPPUNIT_ASSERT(class_of(500, "ran", R"({"id":"you"})") ==
                       answered_wrong);
        CPPUNIT_ASSERT(class_of(500, "ran", "oops") == error_answer);
        CPPUNIT_ASSERT(class_of(503, "", R"({"name":"draining"})") == not_run);
        CPPUNIT_ASSERT(class_of(200, "", R"({"name":"draining"})") ==
                       answered_wrong);
        CPPUNIT_ASSERT(class_of(503, "not_run", "{}") == not_run);
        CPPUNIT_ASSERT(class_of(502, "outcome_unknown", "{}") ==
                       outcome_unknown);
        CPPUNIT_ASSERT(class_of(409,
                                "outcome_unknown",
                                R"({"name":"duplicate_request"})") ==
                       duplicate);
        web::http_result failed;
        CPPUNIT_ASSERT(classify(failed, "me") == lost);
        failed.outcome = web::http_outcome::not_sent;
        CPPUNIT_ASSERT(classify(failed, "me") == not_sent);
    }

    // Guards against a job that ran twice and one that never ran, counted
    // together as two that ran once.
    void jobs_are_counted_by_name()
    {
        auto const tally = tally_jobs(
            {{"a", 1, true}, {"b", 2, true}, {"c", 3, true}, {"d", 0, false}},
            {{"a", 1}, {"b", 2}, {"other", 1}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, tally.submitted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, tally.completed_once);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, tally.completed_twice);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, tally.not_completed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, tally.not_accepted);
    }

    // Guards against a measurement with other settings than written.
    void scenario_errors_have_their_line()
    {
        CPPUNIT_ASSERT(!parse_scenario(
            "f",
            "[load]\ngateways = 127.0.0.1:1\nduration = 1s\nwarm_up = 1s\n"
            "rate = 1e\n[requests]\npath = /\nshare_write = 0.6\n"
            "share_keyed = 0.5\nshare_read = 1\n[daemons]\na = x\n"));
        auto const text = core::last_reason().text;
        for (auto const* const place :
             {"f:4:", "f:5:", "f:9:", "f:10:", "f:12:"})
        {
            CPPUNIT_ASSERT_MESSAGE(text, text.find(place) != std::string::npos);
        }
    }

    void scenario_values_are_read()
    {
        auto const read = parse_scenario(
            "f",
            "[load]\ngateways = 127.0.0.1:1, 127.0.0.1:2\nduration = 3s\n"
            "warm_up = 1s\nrate = 12.5\nseed = 9\nthreads = 3\n"
            "timeout = 200ms\n[requests]\npath = /p\nshare_keyed = 0.25\n"
            "body_bytes = 10\nwork_ms = 2.5\nwork_sigma = 1\n"
            "[jobs]\ncontrol = 127.0.0.1:3\ncount = 4\nrate = 2\n"
            "kinds = plan, print label\ndeadline = 1h\n"
            "[kind plan]\ncpu_millicores = 500\nmemory = 1MiB\n"
            "run_time = 2s\n[kind print label]\npriority = urgent\n"
            "cpu_millicores = 1\nmemory = 1KiB\naccelerators = 2\n"
            "run_time = 1s\nexpected_run_time = 4s\n"
            "[standins]\nbackends = 127.0.0.1:4\nworkers = 127.0.0.1:5\n"
            "[daemons]\ngateway-1 = 77\n");
        CPPUNIT_ASSERT_MESSAGE(core::last_reason().text, read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->gateways.size());
        CPPUNIT_ASSERT_EQUAL(12.5, read->rate);
        CPPUNIT_ASSERT_EQUAL(0.25, read->requests.share_keyed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{77}, read->daemons.at(0).pid);
        auto const job = describe_job(*read->jobs, "n", 3, core::wall_time());
        CPPUNIT_ASSERT_EQUAL(std::string("print label"), job.kind.value());
        CPPUNIT_ASSERT(job.priority == core::priority_class::urgent);
        CPPUNIT_ASSERT_EQUAL(std::string("name=n run_ms=1000"), job.payload);
        CPPUNIT_ASSERT(job.expected_run_time == std::chrono::seconds(4));
        CPPUNIT_ASSERT(job.deadline == core::wall_time(std::chrono::hours(1)));
    }

    // Guards against a metric with a longer name that is added up, and a
    // process name with brackets that shifts the columns.
    void texts_of_other_programs_are_read()
    {
        auto const sum =
            metric_sum("# HELP m x\nm{a=\"}\"} 2\nm_more 100\nm 3.5\n", "m");
        CPPUNIT_ASSERT_EQUAL(5.5, sum.value());
        CPPUNIT_ASSERT(!metric_sum("m_more 1\n", "m"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{30},
                             cpu_ticks("1 (a ) b) S 1 2 3 4 5 6 7 8 9 10 "
                                       "11 19 0 0\n")
                                 .value());
        CPPUNIT_ASSERT(!cpu_ticks("1 (a) S 1"));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{120},
            resident_kib("VmHWM: 9 kB\nVmRSS:\t 120 kB\n").value());
        CPPUNIT_ASSERT(!resident_kib(""));
        execution_counts counts;
        CPPUNIT_ASSERT(
            !add_backend_executions(R"({"executions":[{}]})", counts));
        CPPUNIT_ASSERT(!add_backend_executions("{", counts));
    }

    // Guards against ratios the wrong way round and against a division by 0
    // that hides a row.
    void ratios_have_their_spread()
    {
        auto const round = [](double a, double b)
        {
            compared_round made;
            made.a.figures = {{"x", a}, {"zero", 0}};
            made.b.figures = {{"zero", 1}, {"x", b}};
            return made;
        };
        auto const ratios =
            compare({round(2, 4), round(2, 1), round(1, 1), round(1, 3)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ratios.size());
        CPPUNIT_ASSERT_EQUAL(0.5, ratios[0].lowest);
        CPPUNIT_ASSERT_EQUAL(1.5, ratios[0].median);
        CPPUNIT_ASSERT_EQUAL(3.0, ratios[0].highest);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ratios[1].rounds);
    }

    // Guards against a green result of a run that couldn't be checked.
    void unchecked_promise_is_not_kept()
    {
        report measured;
        measured.figures = {{"count", 3, false}, {"fault", 0, true}};
        CPPUNIT_ASSERT(is_good(measured));
        measured.problems = {"not checked"};
        CPPUNIT_ASSERT(!is_good(measured));
        measured.problems.clear();
        measured.figures[1].value = 1;
        CPPUNIT_ASSERT(!is_good(measured));
        CPPUNIT_ASSERT(to_table(measured).find("BROKEN") != std::string::npos);
    }

    void free_ports_differ()
    {
        auto const ports = free_ports(20);
        CPPUNIT_ASSERT(ports.has_value());
        std::set<std::uint16_t> const different(ports->begin(), ports->end());
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, different.size());
        CPPUNIT_ASSERT(!different.contains(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_parts_test);

} // namespace turmericswitch::load
