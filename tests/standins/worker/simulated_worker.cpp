#include "standins/worker/simulated_worker.hpp"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

namespace turmericswitch::standins
{

namespace
{

constexpr std::int64_t full_speed_permille = 1000;

std::optional<std::string> value_after(std::string const& word,
                                       std::string const& key)
{
    return word.starts_with(key) ? std::optional(word.substr(key.size()))
                                 : std::nullopt;
}

std::string parse_name(std::string const& payload, core::job_id job)
{
    std::istringstream words(payload);
    for (std::string word; words >> word;)
    {
        if (auto const name = value_after(word, "name="))
        {
            return *name;
        }
    }
    return std::to_string(job.value());
}

} // namespace

task_script parse_script(std::string const& payload)
{
    task_script script;
    std::istringstream words(payload);
    for (std::string word; words >> word;)
    {
        if (auto const time = value_after(word, "run_ms="))
        {
            script.run_time = std::chrono::milliseconds(
                std::strtoll(time->c_str(), nullptr, 10));
        }
        script.fails = script.fails || word == "fail";
        script.is_service = script.is_service || word == "service";
    }
    return script;
}

simulated_worker::simulated_worker(core::worker_description description,
                                   bool fails_everything)
    : m_description(std::move(description)),
      m_fails_everything(fails_everything)
{
}

void simulated_worker::tick(core::duration now)
{
    for (auto item = m_tasks.begin(); item != m_tasks.end();)
    {
        bool const has_ended = update_task(now, item->first, item->second);
        item = has_ended ? m_tasks.erase(item) : std::next(item);
    }
}

void simulated_worker::advance_progress(core::duration now, task& running)
{
    auto const passed = now - running.updated_at;
    running.progress += passed * running.cpu_permille / full_speed_permille;
    running.updated_at = now;
}

bool simulated_worker::update_task(core::duration now,
                                   core::job_id job,
                                   task& running)
{
    advance_progress(std::min(now, running.lease_end), running);
    bool const is_done = !running.script.is_service &&
                         running.progress >= running.script.run_time;
    if (is_done)
    {
        bool const fails = running.script.fails || m_fails_everything;
        if (!fails)
        {
            ++m_finished[running.name];
        }
        report(job,
               running.attempt,
               fails ? core::task_event::failed : core::task_event::finished,
               {},
               fails ? core::result_code::job_failed : core::result_code::ok);
        return true;
    }
    if (now < running.lease_end)
    {
        return false;
    }
    ++m_counts.lease_ends;
    report(job,
           running.attempt,
           core::task_event::stopped,
           checkpoint_of(running));
    return true;
}

core::checkpoint_id simulated_worker::checkpoint_of(task const& running)
{
    return core::checkpoint_id(std::to_string(running.progress.count()));
}

void simulated_worker::report(core::job_id job,
                              core::attempt_number attempt,
                              core::task_event event,
                              std::optional<core::checkpoint_id> checkpoint,
                              core::result_code code)
{
    m_fenced_attempts[job] = std::max(m_fenced_attempts[job], attempt);
    m_reports.push_back({job, attempt, event, std::move(checkpoint), code, {}});
    m_report_sequences.push_back(++m_report_sequence);
}

core::heartbeat_request simulated_worker::heartbeat(core::duration now)
{
    tick(now);
    core::heartbeat_request request;
    request.worker = m_description;
    request.sent_at = now;
    request.report_sequence = m_report_sequence;
    request.reports = m_reports;
    for (auto const& [job, running] : m_tasks)
    {
        request.held.push_back({job, running.attempt});
        request.usage.push_back(
            {job, running.attempt, {}, running.reserved, std::nullopt});
    }
    return request;
}

void simulated_worker::handle_answer(core::duration now,
                                     core::heartbeat_answer const& answer)
{
    tick(now);
    if (answer.code != core::result_code::ok)
    {
        return;
    }
    while (!m_reports.empty() &&
           m_report_sequences.front() <= answer.acknowledged_reports)
    {
        m_reports.erase(m_reports.begin());
        m_report_sequences.erase(m_report_sequences.begin());
    }
    for (auto const& order : answer.renewals)
    {
        renew(answer.sent_at, order);
    }
    for (auto const& order : answer.orders)
    {
        apply_order(now, order);
    }
    for (auto const& order : answer.starts)
    {
        start(now, answer.sent_at, order);
    }
}

void simulated_worker::renew(core::duration sent_at,
                             core::renew_order const& order)
{
    auto const found = m_tasks.find(order.job);
    if (found != m_tasks.end() && found->second.attempt == order.attempt)
    {
        auto& end = found->second.lease_end;
        end = std::max(end, sent_at + order.lease);
    }
}

void simulated_worker::apply_order(core::duration now,
                                   core::task_order const& order)
{
    auto const found = m_tasks.find(order.job);
    bool const is_running =
        found != m_tasks.end() && found->second.attempt == order.attempt;
    if (order.action == core::task_action::throttle)
    {
        if (is_running)
        {
            advance_progress(now, found->second);
            found->second.cpu_permille = order.cpu_permille;
        }
        return;
    }
    if (!is_running)
    {
        if (order.action != core::task_action::checkpoint &&
            m_fenced_attempts[order.job] < order.attempt)
        {
            // Confirms that the attempt doesn't run and won't start later.
            report(order.job, order.attempt, core::task_event::stopped);
        }
        return;
    }
    auto const checkpoint = checkpoint_of(found->second);
    if (order.action == core::task_action::checkpoint)
    {
        auto const fenced_attempt = m_fenced_attempts[order.job];
        report(order.job,
               order.attempt,
               core::task_event::checkpointed,
               checkpoint);
        m_fenced_attempts[order.job] = fenced_attempt;
        return;
    }
    bool const is_eviction = order.action == core::task_action::evict;
    m_counts.evictions += is_eviction ? 1 : 0;
    m_tasks.erase(found);
    report(order.job,
           order.attempt,
           core::task_event::stopped,
           is_eviction ? std::optional(checkpoint) : std::nullopt);
}

void simulated_worker::start(core::duration now,
                             core::duration sent_at,
                             core::start_order const& order)
{
    auto const found = m_tasks.find(order.job);
    bool const is_known =
        (found != m_tasks.end() && found->second.attempt >= order.attempt) ||
        m_fenced_attempts[order.job] >= order.attempt;
    if (is_known)
    {
        return;
    }
    if (now >= sent_at + order.permit)
    {
        ++m_counts.permit_refusals;
        return;
    }
    task started;
    started.attempt = order.attempt;
    started.reserved = order.reserved;
    started.name = parse_name(order.payload, order.job);
    started.script = parse_script(order.payload);
    started.updated_at = now;
    started.lease_end = sent_at + order.lease;
    if (order.checkpoint)
    {
        started.progress = core::duration(
            std::strtoll(order.checkpoint->value().c_str(), nullptr, 10));
    }
    m_tasks.insert_or_assign(order.job, std::move(started));
    ++m_counts.starts;
    report(order.job, order.attempt, core::task_event::started);
}

worker_counts const& simulated_worker::counts() const noexcept
{
    return m_counts;
}

std::map<std::string, std::uint64_t> const&
simulated_worker::finished() const noexcept
{
    return m_finished;
}

} // namespace turmericswitch::standins
