#include "load/run/job_load.hpp"

#include "load/schedule/schedule.hpp"
#include "settings/settings.hpp"
#include "wire/json/job_json.hpp"

#include <nlohmann/json.hpp>

#include <thread>

namespace turmericswitch::load
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t submit_threads = 8;
/// The same operation may be sent again: control accepts it once.
constexpr int submit_tries = 5;
constexpr core::duration submit_pause = std::chrono::milliseconds(200);
constexpr core::duration poll_pause = std::chrono::milliseconds(500);
constexpr std::uint16_t ok_status = 200;
constexpr std::uint16_t server_error_status = 500;

std::string submission(core::job_description const& job,
                       std::string const& operation)
{
    auto body = json::parse(wire::jobs_to_json({job}));
    body["operation"] = operation;
    return body.dump();
}

std::uint64_t first_job_in(std::string const& text)
{
    auto const body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("jobs") ||
        !body["jobs"].is_array() || body["jobs"].empty() ||
        !body["jobs"][0].is_number_unsigned())
    {
        return 0;
    }
    return body["jobs"][0].get<std::uint64_t>();
}

} // namespace

core::job_description describe_job(job_settings const& settings,
                                   std::string const& name,
                                   std::size_t index,
                                   core::wall_time now)
{
    auto const& kind = settings.kinds[index % settings.kinds.size()];
    auto const run_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(kind.run_time);
    core::job_description job;
    job.name = name;
    job.team = kind.team;
    job.kind = core::task_kind(kind.name);
    job.priority = kind.priority;
    job.declared = kind.declared;
    job.expected_run_time = kind.expected_run_time;
    job.payload = "name=" + name + " run_ms=" + std::to_string(run_ms.count());
    if (settings.deadline)
    {
        job.deadline = now + *settings.deadline;
    }
    return job;
}

job_load::job_load(job_settings settings, std::string tag)
    : m_settings(std::move(settings)),
      m_tag(std::move(tag)),
      m_control(m_settings.control)
{
}

void job_load::submit_all(std::uint64_t seed)
{
    auto const times = poisson_times(core::seeded_random(seed),
                                     m_settings.rate,
                                     settings::max_duration,
                                     m_settings.count);
    m_jobs.resize(times.size());
    m_timing = run_open_loop(
        times,
        submit_threads,
        [this](std::size_t index, std::chrono::steady_clock::time_point)
        { submit(index); });
}

void job_load::submit(std::size_t index)
{
    auto& job = m_jobs[index];
    job.name = m_tag + "-job-" + std::to_string(index);
    auto const now = std::chrono::time_point_cast<core::wall_time::duration>(
        std::chrono::system_clock::now());
    web::http_request request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.fields = {{"Content-Type", "application/json"}};
    request.body =
        submission(describe_job(m_settings, job.name, index, now), job.name);
    for (int i = 0; i < submit_tries; ++i)
    {
        auto const response = m_control.forward(request);
        if (response.status == ok_status)
        {
            job.id = first_job_in(response.body);
            job.accepted = true;
            return;
        }
        if (response.status < server_error_status)
        {
            return;
        }
        std::this_thread::sleep_for(submit_pause);
    }
}

bool job_load::has_ended(std::uint64_t id)
{
    auto const response =
        m_control.forward({"GET", "/v1/jobs/" + std::to_string(id), {}, {}});
    auto const body = json::parse(response.body, nullptr, false);
    if (response.status != ok_status || !body.is_object())
    {
        return false;
    }
    auto const state = body.value("state", std::string());
    return state == "finished" || state == "failed" || state == "cancelled";
}

bool job_load::wait_for_ends()
{
    auto const limit = std::chrono::steady_clock::now() + m_settings.wait_limit;
    for (auto const& job : m_jobs)
    {
        while (job.accepted && job.id != 0 && !has_ended(job.id))
        {
            if (std::chrono::steady_clock::now() >= limit)
            {
                return false;
            }
            std::this_thread::sleep_for(poll_pause);
        }
    }
    return true;
}

std::vector<submitted_job> const& job_load::jobs() const
{
    return m_jobs;
}

punctuality const& job_load::timing() const
{
    return m_timing;
}

job_tally tally_jobs(std::vector<submitted_job> const& jobs,
                     execution_counts const& finished)
{
    job_tally tally;
    for (auto const& job : jobs)
    {
        auto const found = finished.find(job.name);
        auto const count = found == finished.end() ? 0 : found->second;
        ++tally.submitted;
        tally.not_accepted += job.accepted ? 0 : 1;
        tally.completed_once += count == 1 ? 1 : 0;
        tally.completed_twice += count > 1 ? 1 : 0;
        tally.not_completed += count == 0 ? 1 : 0;
    }
    return tally;
}

} // namespace turmericswitch::load
