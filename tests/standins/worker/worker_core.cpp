#include "standins/worker/worker_core.hpp"

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

std::string name_in(std::string const& payload, core::job_id job)
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

worker_core::worker_core(core::worker_description description,
                         bool fails_everything)
    : m_description(std::move(description)),
      m_fails_everything(fails_everything)
{
}

void worker_core::tick(core::duration now)
{
    for (auto item = m_tasks.begin(); item != m_tasks.end();)
    {
        bool const is_over = end_if_over(now, item->first, item->second);
        item = is_over ? m_tasks.erase(item) : std::next(item);
    }
}

void worker_core::advance(core::duration now, task& running)
{
    auto const passed = now - running.updated;
    running.done += passed * running.cpu_permille / full_speed_permille;
    running.updated = now;
}

bool worker_core::end_if_over(core::duration now,
                              core::job_id job,
                              task& running)
{
    advance(std::min(now, running.lease_end), running);
    bool const is_done =
        !running.script.is_service && running.done >= running.script.run_time;
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

core::checkpoint_id worker_core::checkpoint_of(task const& running)
{
    return core::checkpoint_id(std::to_string(running.done.count()));
}

void worker_core::report(core::job_id job,
                         core::attempt_number attempt,
                         core::task_event event,
                         std::optional<core::checkpoint_id> checkpoint,
                         core::result_code code)
{
    m_fences[job] = std::max(m_fences[job], attempt);
    m_reports.push_back({job, attempt, event, std::move(checkpoint), code, {}});
    m_report_numbers.push_back(++m_report_sequence);
}

core::heartbeat_request worker_core::heartbeat(core::duration now)
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

void worker_core::answered(core::duration now,
                           core::heartbeat_answer const& answer)
{
    tick(now);
    if (answer.code != core::result_code::ok)
    {
        return;
    }
    while (!m_reports.empty() &&
           m_report_numbers.front() <= answer.acknowledged_reports)
    {
        m_reports.erase(m_reports.begin());
        m_report_numbers.erase(m_report_numbers.begin());
    }
    for (auto const& order : answer.renewals)
    {
        renew(answer.sent_at, order);
    }
    for (auto const& order : answer.orders)
    {
        obey(now, order);
    }
    for (auto const& order : answer.starts)
    {
        start(now, answer.sent_at, order);
    }
}

void worker_core::renew(core::duration sent_at, core::renew_order const& order)
{
    auto const found = m_tasks.find(order.job);
    if (found != m_tasks.end() && found->second.attempt == order.attempt)
    {
        auto& end = found->second.lease_end;
        end = std::max(end, sent_at + order.lease);
    }
}

void worker_core::obey(core::duration now, core::task_order const& order)
{
    auto const found = m_tasks.find(order.job);
    bool const is_running =
        found != m_tasks.end() && found->second.attempt == order.attempt;
    if (order.action == core::task_action::throttle)
    {
        if (is_running)
        {
            advance(now, found->second);
            found->second.cpu_permille = order.cpu_permille;
        }
        return;
    }
    if (!is_running)
    {
        if (order.action != core::task_action::checkpoint &&
            m_fences[order.job] < order.attempt)
        {
            // Confirms that the attempt does not run and never will.
            report(order.job, order.attempt, core::task_event::stopped);
        }
        return;
    }
    auto const checkpoint = checkpoint_of(found->second);
    if (order.action == core::task_action::checkpoint)
    {
        auto const fence = m_fences[order.job];
        report(order.job,
               order.attempt,
               core::task_event::checkpointed,
               checkpoint);
        m_fences[order.job] = fence;
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

void worker_core::start(core::duration now,
                        core::duration sent_at,
                        core::start_order const& order)
{
    auto const found = m_tasks.find(order.job);
    bool const is_known =
        (found != m_tasks.end() && found->second.attempt >= order.attempt) ||
        m_fences[order.job] >= order.attempt;
    if (is_known)
    {
        return;
    }
    if (now >= sent_at + order.permit)
    {
        ++m_counts.permit_refusals;
        return;
    }
    task begun;
    begun.attempt = order.attempt;
    begun.reserved = order.reserved;
    begun.name = name_in(order.payload, order.job);
    begun.script = parse_script(order.payload);
    begun.updated = now;
    begun.lease_end = sent_at + order.lease;
    if (order.checkpoint)
    {
        begun.done = core::duration(
            std::strtoll(order.checkpoint->value().c_str(), nullptr, 10));
    }
    m_tasks.insert_or_assign(order.job, std::move(begun));
    ++m_counts.starts;
    report(order.job, order.attempt, core::task_event::started);
}

worker_counts const& worker_core::counts() const noexcept
{
    return m_counts;
}

std::map<std::string, std::uint64_t> const&
worker_core::finished() const noexcept
{
    return m_finished;
}

} // namespace turmericswitch::standins
