#include "core/results/last_reason.hpp"
#include "load/figures/comparison.hpp"
#include "load/figures/latency_summary.hpp"
#include "load/figures/request_tally.hpp"
#include "load/run/daemon_usage.hpp"
#include "load/run/free_ports.hpp"
#include "load/run/job_load.hpp"
#include "load/run/port_reservation.hpp"
#include "load/run/request_load.hpp"
#include "load/run/standin_client.hpp"
#include "support/property.hpp"
#include "web/server/http_server.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <set>

namespace turmericswitch::load
{

class load_parts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_parts_test);
    CPPUNIT_TEST(plan_follows_the_scenario_and_the_seed);
    CPPUNIT_TEST(percentile_is_the_nearest_rank);
    CPPUNIT_TEST(tally_counts_each_violated_guarantee);
    CPPUNIT_TEST(answers_are_classified);
    CPPUNIT_TEST(jobs_are_counted_by_name);
    CPPUNIT_TEST(scenario_errors_name_their_line);
    CPPUNIT_TEST(scenario_values_are_read);
    CPPUNIT_TEST(metrics_proc_files_and_executions_are_parsed);
    CPPUNIT_TEST(ratios_have_median_and_range);
    CPPUNIT_TEST(unchecked_or_violated_guarantee_fails_the_run);
    CPPUNIT_TEST(free_ports_are_distinct);
    CPPUNIT_TEST(reserved_ports_are_given_to_no_other_socket);
    CPPUNIT_TEST(servers_can_listen_on_a_reserved_port);
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

    // Guards against a request mix or mean work that differs from the scenario,
    // and against different plans from the same seed.
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

    // Guards against off-by-one ranks, which understate the tail latency.
    void percentile_is_the_nearest_rank()
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
        std::vector<send_outcome> outcomes;
        std::uint64_t executed;
        std::uint64_t not_run_but_executed;
        std::uint64_t executed_twice;
        std::uint64_t answered_not_executed;
    };

    // Guards against a fault of the system that is not reported, and against
    // permitted behaviour that is reported as a fault.
    void tally_counts_each_violated_guarantee()
    {
        using enum request_kind;
        using enum send_outcome;
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
            auto const& item = cases[i];
            std::vector<planned_send> sends;
            std::vector<send_result> results;
            for (auto const outcome : item.outcomes)
            {
                sends.push_back({{}, 4, item.kind, 0, 0});
                results.push_back({outcome, 1});
            }
            auto const tally = tally_requests(
                sends, results, "t", {{"t-4", item.executed}, {"u-4", 9}});
            auto const name = "case " + std::to_string(i);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                name, item.not_run_but_executed, tally.not_run_but_executed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                name, item.executed_twice, tally.executed_twice);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                name, item.answered_not_executed, tally.answered_not_executed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                name, std::uint64_t{item.outcomes.size()}, tally.sent);
        }
    }

    static send_outcome classify_response(std::uint16_t status,
                                          std::string outcome,
                                          std::string body)
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

    // Guards against a response for another caller, or a truncated one, that
    // counts as valid.
    void answers_are_classified()
    {
        using enum send_outcome;
        CPPUNIT_ASSERT(classify_response(200, "ran", R"({"id":"me"})") ==
                       answered_whole);
        CPPUNIT_ASSERT(classify_response(200, "", R"({"id":"me"})") ==
                       answered_whole);
        CPPUNIT_ASSERT(classify_response(200, "ran", R"({"id":"you"})") ==
                       answered_wrong);
        CPPUNIT_ASSERT(classify_response(200, "ran", R"({"id":"me)") ==
                       answered_wrong);
        CPPUNIT_ASSERT(classify_response(200, "ran", "") == answered_wrong);
        CPPUNIT_ASSERT(classify_response(500, "ran", R"({"id":"you"})") ==
                       answered_wrong);
        CPPUNIT_ASSERT(classify_response(500, "ran", "oops") == error_answer);
        CPPUNIT_ASSERT(classify_response(503, "", R"({"name":"draining"})") ==
                       not_run);
        CPPUNIT_ASSERT(classify_response(200, "", R"({"name":"draining"})") ==
                       answered_wrong);
        CPPUNIT_ASSERT(classify_response(503, "not_run", "{}") == not_run);
        CPPUNIT_ASSERT(classify_response(502, "outcome_unknown", "{}") ==
                       outcome_unknown);
        CPPUNIT_ASSERT(classify_response(409,
                                         "outcome_unknown",
                                         R"({"name":"duplicate_request"})") ==
                       duplicate);
        web::http_result failed;
        CPPUNIT_ASSERT(classify(failed, "me") == lost);
        failed.outcome = web::http_outcome::not_sent;
        CPPUNIT_ASSERT(classify(failed, "me") == not_sent);
    }

    // Guards against counting only totals: a job that ran twice and one that
    // never ran would look like two that ran once.
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

    // Guards against a run with values that differ from the scenario because
    // an error in the file was ignored.
    void scenario_errors_name_their_line()
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

    // Guards against scenario keys that are ignored or read into the wrong
    // setting.
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

    // Guards against adding samples of a metric whose longer name has the same
    // prefix, and against reading the wrong column when the process name
    // contains parentheses.
    void metrics_proc_files_and_executions_are_parsed()
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

    // Guards against inverted ratios, and against a figure that is missing
    // because a division by 0 was skipped.
    void ratios_have_median_and_range()
    {
        auto const round = [](double a, double b)
        {
            compared_round compared;
            compared.a.figures = {{"x", a}, {"zero", 0}};
            compared.b.figures = {{"zero", 1}, {"x", b}};
            return compared;
        };
        auto const ratios =
            compare({round(2, 4), round(2, 1), round(1, 1), round(1, 3)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ratios.size());
        CPPUNIT_ASSERT_EQUAL(0.5, ratios[0].lowest);
        CPPUNIT_ASSERT_EQUAL(1.5, ratios[0].median);
        CPPUNIT_ASSERT_EQUAL(3.0, ratios[0].highest);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ratios[1].rounds);
    }

    // Guards against a run that passes although a guarantee is violated or
    // couldn't be checked.
    void unchecked_or_violated_guarantee_fails_the_run()
    {
        report measured;
        measured.figures = {{"count", 3, false}, {"fault", 0, true}};
        CPPUNIT_ASSERT(has_passed(measured));
        measured.problems = {"not checked"};
        CPPUNIT_ASSERT(!has_passed(measured));
        measured.problems.clear();
        measured.figures[1].value = 1;
        CPPUNIT_ASSERT(!has_passed(measured));
        CPPUNIT_ASSERT(to_table(measured).find("BROKEN") != std::string::npos);
    }

    // Guards against two daemons that are given the same port.
    void free_ports_are_distinct()
    {
        auto const ports = free_ports(20);
        CPPUNIT_ASSERT(ports.has_value());
        std::set<std::uint16_t> const distinct(ports->begin(), ports->end());
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, distinct.size());
        CPPUNIT_ASSERT(!distinct.contains(0));
    }

    // Guards against a daemon that can't listen on the port in its settings,
    // because a server that asked for any free port got it before the daemon
    // started.
    void reserved_ports_are_given_to_no_other_socket()
    {
        constexpr std::size_t reserved_count = 200;
        constexpr int other_sockets = 500;
        auto const reserved = port_reservation::take(reserved_count);
        CPPUNIT_ASSERT(reserved.has_value());
        std::set<std::uint16_t> const ports(reserved->ports().begin(),
                                            reserved->ports().end());
        CPPUNIT_ASSERT_EQUAL(reserved_count, ports.size());
        std::vector<int> sockets;
        int taken = 0;
        for (int i = 0; i < other_sockets; ++i)
        {
            sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
            taken += ports.contains(bind_to_any_port(sockets.back())) ? 1 : 0;
        }
        std::for_each(sockets.begin(), sockets.end(), &::close);
        CPPUNIT_ASSERT_EQUAL(0, taken);
    }

    // Guards against a reservation that keeps a daemon itself from listening,
    // or from listening again after a restart.
    void servers_can_listen_on_a_reserved_port()
    {
        auto const reserved = port_reservation::take(1);
        CPPUNIT_ASSERT(reserved.has_value());
        web::server_options options;
        options.worker_threads = 1;
        for (auto const* const address : {"127.0.0.1", "127.0.0.2"})
        {
            options.listen_on = {address, reserved->ports().front()};
            for (int start = 0; start < 2; ++start)
            {
                CPPUNIT_ASSERT(web::http_server::start(
                    options, [](auto const&) { return web::http_response(); }));
            }
        }
    }

    /// Binds as a server does that asks for any free port.
    ///
    /// @return The port.
    static std::uint16_t bind_to_any_port(int socket)
    {
        int const on = 1;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* const pointer = reinterpret_cast<sockaddr*>(&address);
        socklen_t size = sizeof address;
        bool const is_bound =
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) ==
                0 &&
            ::bind(socket, pointer, size) == 0 &&
            ::getsockname(socket, pointer, &size) == 0;
        CPPUNIT_ASSERT(is_bound);
        return ntohs(address.sin_port);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_parts_test);

} // namespace turmericswitch::load
