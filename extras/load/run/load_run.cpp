#include "load/run/load_run.hpp"

#include "core/results/last_reason.hpp"
#include "load/figures/latency_summary.hpp"
#include "load/run/daemon_usage.hpp"
#include "load/run/job_load.hpp"
#include "load/run/request_load.hpp"
#include "load/run/standin_client.hpp"

#include <random>
#include <sstream>
#include <thread>

namespace turmericswitch::load
{

namespace
{

/// Readings before the run, from which the report computes the change over the
/// run.
struct baseline
{
    std::optional<double> region_bytes;
    std::optional<worker_executions> workers;
    std::vector<std::optional<daemon_usage>> daemons;
};

template <typename T>
void add_figure(report& out,
                char const* name,
                T value,
                bool must_be_zero = false)
{
    out.figures.push_back({name, static_cast<double>(value), must_be_zero});
}

void add_problem(report& out, std::string const& what)
{
    out.problems.push_back(what + ": " + core::last_reason().text);
}

std::optional<double> region_bytes(scenario const& settings)
{
    constexpr auto metric = "turmericswitch_gateway_region_bytes_total";
    double sum = 0;
    for (auto const& gateway : settings.gateways)
    {
        auto const text = fetch(gateway, "/metrics");
        auto const value = text ? metric_sum(*text, metric) : std::nullopt;
        if (!value)
        {
            return text ? core::fail(core::result_code::request_malformed,
                                     core::to_string(gateway) +
                                         " has no metric " + metric)
                        : std::nullopt;
        }
        sum += *value;
    }
    return sum;
}

baseline read_baseline(scenario const& settings, report& out)
{
    baseline before;
    before.region_bytes = region_bytes(settings);
    before.workers = fetch_workers(settings.workers);
    if (!before.workers)
    {
        add_problem(out, "workers before the run");
    }
    for (auto const& daemon : settings.daemons)
    {
        before.daemons.push_back(read_usage(daemon.pid));
    }
    return before;
}

void add_request_counts(report& out, request_tally const& tally)
{
    add_figure(out, "requests_sent", tally.sent);
    add_figure(out, "requests_answered_whole", tally.answered_whole);
    add_figure(out, "requests_answered_wrong", tally.answered_wrong, true);
    add_figure(out, "requests_error_answer", tally.error_answers);
    add_figure(out, "requests_not_run", tally.not_run);
    add_figure(
        out, "requests_not_run_but_executed", tally.not_run_but_executed, true);
    add_figure(out, "requests_duplicate_refused", tally.duplicates_refused);
    add_figure(out, "requests_outcome_unknown", tally.outcome_unknown);
    add_figure(out, "requests_connection_errors", tally.connection_errors);
    add_figure(out, "writes_executed_twice", tally.executed_twice, true);
}

void add_latencies(report& out,
                   scenario const& settings,
                   std::vector<planned_send> const& sends,
                   std::vector<send_result> const& results)
{
    std::vector<double> times;
    for (std::size_t i = 0; i < sends.size(); ++i)
    {
        if (sends[i].due >= settings.warm_up &&
            results[i].outcome == send_outcome::answered_whole)
        {
            times.push_back(results[i].latency_ms);
        }
    }
    std::chrono::duration<double> const length =
        settings.duration - settings.warm_up;
    auto const goodput = static_cast<double>(times.size()) / length.count();
    auto const summary = summarize(std::move(times));
    add_figure(out, "latency_p50_ms", summary.p50);
    add_figure(out, "latency_p90_ms", summary.p90);
    add_figure(out, "latency_p99_ms", summary.p99);
    add_figure(out, "latency_p999_ms", summary.p999);
    add_figure(out, "latency_max_ms", summary.max);
    add_figure(out, "goodput_per_s", goodput);
}

void add_send_delays(report& out, send_delays const& delays)
{
    add_figure(out, "sends_late_no_free_thread", delays.no_free_thread);
    add_figure(out, "sends_late_wakeup", delays.late_wakeups);
    add_figure(out, "sends_worst_delay_ms", delays.max_delay_ms);
}

void measure_requests(report& out,
                      scenario const& settings,
                      std::string const& tag)
{
    auto const sends = plan_sends(settings);
    auto const load = run_requests(settings, sends, tag);
    std::this_thread::sleep_for(settings.settle);
    auto const executed = fetch_backends(settings.backends);
    if (!executed)
    {
        add_problem(out, "executions were not checked");
    }
    else if (settings.backends.empty() && !sends.empty())
    {
        out.problems.emplace_back(
            "executions were not checked: [standins] has no backends");
    }
    auto const tally = tally_requests(
        sends, load.results, tag, executed.value_or(execution_counts()));
    if (executed && !settings.backends.empty() &&
        tally.answered_not_executed > 0)
    {
        out.problems.push_back(
            std::to_string(tally.answered_not_executed) +
            " answered requests are unknown to the stand-ins listed");
    }
    if (!sends.empty() && tally.answered_whole == 0)
    {
        out.problems.emplace_back("no request was answered whole");
    }
    add_request_counts(out, tally);
    add_latencies(out, settings, sends, load.results);
    add_send_delays(out, load.delays);
}

void measure_jobs(report& out,
                  scenario const& settings,
                  job_load& jobs,
                  baseline const& before)
{
    bool const all_ended = jobs.wait_until_ended();
    auto const workers = fetch_workers(settings.workers);
    if (!workers)
    {
        add_problem(out, "finished jobs were not checked");
    }
    else if (settings.workers.empty())
    {
        out.problems.emplace_back(
            "finished jobs were not checked: [standins] has no workers");
    }
    auto const last = workers.value_or(worker_executions());
    auto const first = before.workers.value_or(worker_executions());
    auto const tally = tally_jobs(jobs.jobs(), last.finished);
    if (tally.completed_once + tally.completed_twice == 0)
    {
        out.problems.emplace_back("no job was completed");
    }
    add_figure(out, "jobs_submitted", tally.submitted);
    add_figure(out, "jobs_not_accepted", tally.not_accepted);
    add_figure(out, "jobs_late_no_free_thread", jobs.delays().no_free_thread);
    add_figure(out, "jobs_completed_once", tally.completed_once);
    add_figure(out, "jobs_completed_twice", tally.completed_twice, true);
    add_figure(out, "jobs_not_completed", tally.not_completed);
    add_figure(out, "jobs_wait_ran_out", all_ended ? 0 : 1);
    // A stand-in that restarted counts from 0 again, so a difference may be
    // negative.
    auto const difference = [](std::uint64_t from, std::uint64_t to)
    { return static_cast<double>(to) - static_cast<double>(from); };
    add_figure(out, "task_starts", difference(first.starts, last.starts));
    add_figure(out, "evictions", difference(first.evictions, last.evictions));
    add_figure(out,
               "permit_refusals",
               difference(first.permit_refusals, last.permit_refusals));
}

void add_usage(report& out, scenario const& settings, baseline const& before)
{
    auto const bytes = region_bytes(settings);
    if (bytes && before.region_bytes)
    {
        add_figure(out, "region_bytes", *bytes - *before.region_bytes);
    }
    else
    {
        out.notes.emplace_back(
            "region_bytes left out: not every gateway gave the metric before "
            "and after the run");
    }
    for (std::size_t i = 0; i < settings.daemons.size(); ++i)
    {
        auto const& daemon = settings.daemons[i];
        auto const now = read_usage(daemon.pid);
        if (!now || !before.daemons[i])
        {
            out.notes.push_back("use of " + daemon.name +
                                " left out: not running before and after the "
                                "run");
            continue;
        }
        auto const cpu = now->cpu_seconds - before.daemons[i]->cpu_seconds;
        add_figure(out, ("cpu_s_" + daemon.name).c_str(), cpu);
        add_figure(
            out, ("resident_mib_" + daemon.name).c_str(), now->resident_mib);
    }
}

} // namespace

std::string unique_tag()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << device() << device();
    return text.str();
}

report run_scenario(scenario const& settings, std::string const& tag)
{
    report out;
    auto const before = read_baseline(settings, out);
    std::optional<job_load> jobs;
    std::thread submitting;
    if (settings.jobs)
    {
        jobs.emplace(*settings.jobs, tag);
        submitting = std::thread([&] { jobs->submit_all(settings.seed + 1); });
    }
    measure_requests(out, settings, tag);
    if (jobs)
    {
        submitting.join();
        measure_jobs(out, settings, *jobs, before);
    }
    add_usage(out, settings, before);
    return out;
}

} // namespace turmericswitch::load
