#include "control_scale/job_stream.hpp"

#include "process/loop/event_loop.hpp"
#include "wire/json/job_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace turmericswitch::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t zones = 6;
constexpr std::size_t jobs_per_call = 1000;
/// Enough to sustain the rate even if a commit takes 100 ms.
constexpr std::size_t max_threads = 64;
constexpr char const* submission_time_prefix = "urgent_us=";

core::job_description make_job(std::size_t number, std::size_t teams)
{
    core::job_description job;
    job.name = "job-" + std::to_string(number);
    job.team = core::team_id("team-" + std::to_string(number % teams));
    job.declared = {core::millicores(1000),
                    core::byte_count(2LL << 30U),
                    core::accelerator_count(0)};
    return job;
}

std::string pad_payload(std::string payload, std::size_t size)
{
    payload += ' ';
    payload.resize(std::max(payload.size(), size), '.');
    return payload;
}

std::optional<web::http_response>
submit(std::vector<core::job_description> const& jobs,
       leader_client& control,
       role_traffic& traffic)
{
    auto response =
        control.send("POST", "/v1/jobs", wire::jobs_to_json(jobs), traffic);
    constexpr std::uint16_t ok_status = 200;
    if (response && response->status != ok_status)
    {
        std::fprintf(
            stderr, "job submission refused: %s\n", response->body.c_str());
        return std::nullopt;
    }
    return response;
}

} // namespace

core::zone_id zone_name(std::size_t number)
{
    return core::zone_id("az-" + std::to_string(number % zones));
}

std::optional<core::time_point> submission_time(std::string const& payload)
{
    auto const prefix = payload.find(submission_time_prefix);
    if (prefix == std::string::npos)
    {
        return std::nullopt;
    }
    auto const* const digits =
        payload.c_str() + prefix + std::string(submission_time_prefix).size();
    return core::time_point(core::duration(std::strtoll(digits, nullptr, 10)));
}

bool submit_long_running(scale_options const& options, leader_client& control)
{
    // The two-year fleet size has 2,100 services and 3,900 batch tasks.
    constexpr std::size_t service_percent = 35;
    role_traffic traffic;
    std::vector<core::job_description> jobs;
    auto const total = options.workers * options.tasks_per_worker;
    for (std::size_t i = 0; i < total; ++i)
    {
        auto job = make_job(i, options.teams);
        bool const is_service = i % 100 < service_percent;
        job.kind = core::task_kind(is_service ? "long-service" : "long-batch");
        job.priority = is_service ? core::priority_class::service
                                  : core::priority_class::batch;
        job.expected_run_time = 10h;
        job.payload = pad_payload("service", options.payload_bytes);
        jobs.push_back(std::move(job));
        bool const is_full = jobs.size() == jobs_per_call || i + 1 == total;
        if (is_full && !submit(std::exchange(jobs, {}), control, traffic))
        {
            return false;
        }
    }
    return true;
}

bool submit_ended_jobs(scale_options const& options, leader_client& control)
{
    role_traffic traffic;
    for (std::size_t submitted_count = 0; submitted_count < options.ended_jobs;)
    {
        std::vector<core::job_description> jobs;
        while (jobs.size() < jobs_per_call &&
               submitted_count < options.ended_jobs)
        {
            auto job = make_job(submitted_count++, options.teams);
            job.kind = core::task_kind("ended");
            job.expected_run_time = 1h;
            job.payload = pad_payload("", options.payload_bytes);
            jobs.push_back(std::move(job));
        }
        auto const submitted = submit(jobs, control, traffic);
        if (!submitted)
        {
            return false;
        }
        auto const ids = nlohmann::json::parse(submitted->body).at("jobs");
        if (!control.send("POST",
                          "/v1/jobs/cancel",
                          nlohmann::json{{"jobs", ids}}.dump(),
                          traffic))
        {
            return false;
        }
    }
    return true;
}

job_stream::job_stream(scale_options const& options, leader_client& control)
    : m_options(options), m_control(control)
{
    auto const calls_per_second =
        options.jobs_per_second / static_cast<double>(options.batch);
    auto const threads = static_cast<std::size_t>(calls_per_second / 8) + 1;
    for (std::size_t i = 0;
         i < std::min(threads, max_threads) && options.jobs_per_second > 0;
         ++i)
    {
        m_threads.emplace_back([this, i] { run(i); });
    }
}

job_stream::~job_stream()
{
    m_stopping = true;
    for (auto& thread : m_threads)
    {
        thread.join();
    }
}

void job_stream::run(std::size_t number)
{
    auto const calls_per_second =
        m_options.jobs_per_second / static_cast<double>(m_options.batch);
    auto const threads = std::min(
        static_cast<std::size_t>(calls_per_second / 8) + 1, max_threads);
    auto const pause = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(static_cast<double>(threads) /
                                      calls_per_second));
    auto due =
        process::event_loop::now() + pause * static_cast<std::int64_t>(number) /
                                         static_cast<std::int64_t>(threads);
    std::size_t next = number;
    while (!m_stopping)
    {
        auto const wait = due - process::event_loop::now();
        std::this_thread::sleep_for(std::max(wait, core::duration::zero()));
        std::vector<core::job_description> jobs;
        for (std::size_t i = 0; i < m_options.batch; ++i)
        {
            auto job = make_job(next, m_options.teams);
            next += threads;
            job.kind = core::task_kind("proof");
            job.priority = core::priority_class::urgent;
            job.expected_run_time = m_options.run_time;
            auto const milliseconds =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    m_options.run_time);
            job.payload = pad_payload(
                submission_time_prefix +
                    std::to_string(due.time_since_epoch().count()) +
                    " run_ms=" + std::to_string(milliseconds.count()),
                m_options.payload_bytes);
            jobs.push_back(std::move(job));
        }
        auto const started_at = process::event_loop::now();
        if (submit(jobs, m_control, m_traffic))
        {
            submit_latencies.add(process::event_loop::now() - started_at);
        }
        due += pause;
    }
}

role_traffic const& job_stream::traffic() const noexcept
{
    return m_traffic;
}

} // namespace turmericswitch::bench
