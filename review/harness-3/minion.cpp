#include "minion.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace review
{

namespace
{

constexpr auto tick_pause = std::chrono::milliseconds(5);
constexpr int beat_timeout_ms = 1000;

response answer(int status, nlohmann::json const& body)
{
    return {status, {}, body.dump()};
}

} // namespace

std::int64_t steady_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void fleet::plan(std::string const& step, step_plan plan)
{
    std::lock_guard const lock(m_mutex);
    m_plans[step] = std::move(plan);
}

step_plan fleet::plan_of(std::string const& task) const
{
    std::lock_guard const lock(m_mutex);
    auto const found = m_plans.find(step_of(task));
    return found == m_plans.end() ? step_plan{} : found->second;
}

/// ID.K.STEP.INDEX to ID.STEP
std::string fleet::step_of(std::string const& task)
{
    auto const first = task.find('.');
    auto const second = task.find('.', first + 1);
    auto const third = task.find('.', second + 1);
    return task.substr(0, first) + task.substr(second, third - second);
}

std::string fleet::gang_of(std::string const& task, std::uint32_t attempt)
{
    return task.substr(0, task.rfind('.')) + "/" + std::to_string(attempt);
}

std::size_t fleet::begin(run_record run)
{
    std::lock_guard const lock(m_mutex);
    m_runs.push_back(std::move(run));
    return m_runs.size() - 1;
}

void fleet::end(std::size_t run, std::string const& how)
{
    std::lock_guard const lock(m_mutex);
    m_runs[run].ended = steady_ms();
    m_runs[run].how = how;
}

void fleet::acknowledge(std::size_t run)
{
    std::lock_guard const lock(m_mutex);
    m_runs[run].is_acknowledged = true;
}

void fleet::arrive(std::string const& task, std::uint32_t attempt)
{
    std::lock_guard const lock(m_mutex);
    auto& known = m_gangs[gang_of(task, attempt)];
    auto const plan = m_plans.find(step_of(task));
    if (++known.present == plan->second.count)
    {
        known.together = steady_ms();
    }
}

void fleet::leave(std::string const& task, std::uint32_t attempt)
{
    std::lock_guard const lock(m_mutex);
    m_gangs[gang_of(task, attempt)].is_broken = true;
}

std::int64_t fleet::together_since(std::string const& task,
                                   std::uint32_t attempt) const
{
    std::lock_guard const lock(m_mutex);
    auto const found = m_gangs.find(gang_of(task, attempt));
    return found == m_gangs.end() ? 0 : found->second.together;
}

bool fleet::is_broken(std::string const& task, std::uint32_t attempt) const
{
    std::lock_guard const lock(m_mutex);
    auto const found = m_gangs.find(gang_of(task, attempt));
    return found != m_gangs.end() && found->second.is_broken;
}

void fleet::finish(std::string const& task, std::uint32_t attempt)
{
    std::lock_guard const lock(m_mutex);
    m_gangs[gang_of(task, attempt)].is_finished = true;
}

bool fleet::is_finished(std::string const& task, std::uint32_t attempt) const
{
    std::lock_guard const lock(m_mutex);
    auto const found = m_gangs.find(gang_of(task, attempt));
    return found != m_gangs.end() && found->second.is_finished;
}

std::vector<run_record> fleet::runs() const
{
    std::lock_guard const lock(m_mutex);
    return m_runs;
}

minion::minion(fleet& all, minion_options options)
    : m_fleet(all), m_options(std::move(options))
{
    begin_life();
    m_ticks = std::thread([this] { tick(); });
    m_beats = std::thread([this] { register_again(); });
}

minion::~minion()
{
    m_stopping = true;
    m_server.reset();
    m_ticks.join();
    m_beats.join();
}

void minion::begin_life()
{
    {
        std::lock_guard const lock(m_mutex);
        m_born_steady = steady_ms();
        m_born = unix_ms();
        m_token = 0;
        m_lease = 0;
        m_last_end = 0;
        m_sequence = 0;
        m_closed.clear();
        m_ended.clear();
        if (!m_options.keeps_late_orders)
        {
            m_late.clear();
        }
        m_is_up = true;
        carry_out_late_orders();
    }
    m_server = std::make_unique<server>(
        m_options.app, [this](request const& asked) { return serve(asked); });
    m_is_up = true;
}

void minion::crash()
{
    m_is_up = false;
    {
        std::lock_guard const lock(m_mutex);
        for (auto const& [task, each] : m_running)
        {
            m_fleet.end(each.record, "crashed");
            if (each.plan.all_or_nothing)
            {
                m_fleet.leave(task, each.attempt);
            }
        }
        m_running.clear();
    }
    m_server.reset();
}

void minion::restart()
{
    begin_life();
}

std::size_t minion::running() const
{
    std::lock_guard const lock(m_mutex);
    return m_running.size();
}

std::int64_t minion::cpu_in_use() const
{
    std::lock_guard const lock(m_mutex);
    std::int64_t total = 0;
    for (auto const& [task, each] : m_running)
    {
        total += each.plan.cpu;
    }
    return total;
}

std::int64_t minion::now() const
{
    return steady_ms() - m_born_steady;
}

std::optional<response> minion::serve(request const& asked)
{
    auto const wanted = asked.fields.find("x-expected-instance");
    if (wanted != asked.fields.end() && wanted->second != m_options.id)
    {
        return answer(421, {{"server_time_ms", now()}});
    }
    auto const body = json::parse(asked.body, nullptr, false);
    if (!body.is_object())
    {
        return answer(400, {{"server_time_ms", now()}});
    }
    if (asked.target == "/hold")
    {
        return hold(body);
    }
    auto const delay = m_options.delays
                           ? m_options.delays(body.value("task", std::string()))
                           : 0;
    if (delay > 0)
    {
        std::lock_guard const lock(m_mutex);
        m_late.push_back({steady_ms() + delay, asked.target, body});
        return std::nullopt;
    }
    std::lock_guard const lock(m_mutex);
    return carry_out(asked.target, body);
}

response minion::carry_out(std::string const& target, json const& body)
{
    if (!m_is_up)
    {
        return {};
    }
    advance();
    if (target == "/run-start")
    {
        return start(body);
    }
    if (target == "/run-stop")
    {
        return stop(body);
    }
    if (target == "/pace")
    {
        return answer(200, {{"server_time_ms", now()}});
    }
    return answer(404, json::object());
}

bool minion::is_fenced(json const& body)
{
    auto const token = body.value("fencing_token", std::uint64_t{0});
    bool const is_outdated = token < m_token;
    m_token = std::max(m_token, token);
    return is_outdated;
}

void minion::extend(json const& body)
{
    auto const until = body.value("deadline_ms", std::int64_t{0});
    m_lease = std::max(m_lease, std::min(until, now() + m_options.max_hold_ms));
}

response minion::start(json const& body)
{
    json failure{{"server_time_ms", now()}};
    if (is_fenced(body))
    {
        failure["reason"] = "fence";
        return answer(409, failure);
    }
    auto const task = body.value("task", std::string());
    auto const attempt = body.value("attempt", std::uint32_t{0});
    if (auto const known = m_running.find(task);
        known != m_running.end() && known->second.attempt == attempt)
    {
        extend(body);
        return answer(200, {{"server_time_ms", now()}});
    }
    if (auto const closed = m_closed.find(task);
        closed != m_closed.end() && attempt <= closed->second)
    {
        extend(body);
        failure["reason"] = "old";
        return answer(409, failure);
    }
    if (body.value("deadline_ms", std::int64_t{0}) <= now())
    {
        failure["reason"] = "late";
        return answer(409, failure);
    }
    extend(body);
    run added;
    added.task = task;
    added.attempt = attempt;
    added.begun = steady_ms();
    added.plan = m_fleet.plan_of(task);
    added.fails = m_options.fails && m_options.fails(task);
    added.record = m_fleet.begin({m_options.id,
                                  m_born,
                                  task,
                                  attempt,
                                  body.value("task_spec", std::string()),
                                  added.begun,
                                  0,
                                  {},
                                  false});
    if (added.plan.all_or_nothing)
    {
        m_fleet.arrive(task, attempt);
    }
    m_running.insert_or_assign(task, std::move(added));
    return answer(200, {{"server_time_ms", now()}});
}

response minion::stop(json const& body)
{
    if (is_fenced(body))
    {
        return answer(409, {{"server_time_ms", now()}, {"reason", "fence"}});
    }
    auto const task = body.value("task", std::string());
    auto const attempt = body.value("attempt", std::uint32_t{0});
    auto& closed = m_closed[task];
    closed = std::max(closed, attempt);
    if (auto const known = m_running.find(task);
        known != m_running.end() && known->second.attempt <= attempt &&
        known->second.stops_at == 0)
    {
        known->second.stops_at = steady_ms() + m_options.stop_ms / 2;
    }
    return answer(200, {{"server_time_ms", now()}});
}

response minion::hold(json const& body)
{
    auto const until =
        steady_ms() +
        std::min<std::int64_t>(body.value("wait_ms", std::int64_t{0}), 2000);
    {
        std::lock_guard const lock(m_mutex);
        if (is_fenced(body))
        {
            return answer(409,
                          {{"server_time_ms", now()}, {"reason", "fence"}});
        }
        advance();
        extend(body);
        auto const cursor = body.value("ack_cursor", std::uint64_t{0});
        std::erase_if(m_ended,
                      [this, cursor](ended_run const& each)
                      {
                          bool const is_known = each.number <= cursor;
                          if (is_known)
                          {
                              m_fleet.acknowledge(each.record);
                          }
                          return is_known;
                      });
    }
    for (;;)
    {
        {
            std::lock_guard const lock(m_mutex);
            advance();
            if (!m_ended.empty() || steady_ms() >= until || m_stopping ||
                !m_is_up)
            {
                return answer(200, answer_body());
            }
        }
        std::this_thread::sleep_for(tick_pause);
    }
}

nlohmann::json minion::answer_body() const
{
    constexpr std::size_t most_ends = 500;
    constexpr int at_work = 100;
    json running = json::array();
    for (auto const& [task, each] : m_running)
    {
        running.push_back({task, each.attempt, "", at_work, each.plan.cpu});
    }
    json ended = json::array();
    for (auto const& each : m_ended)
    {
        if (ended.size() < most_ends)
        {
            ended.push_back(
                {each.number, each.task, each.attempt, each.how, ""});
        }
    }
    return {{"server_time_ms", now()},
            {"born", m_born},
            {"running", running},
            {"ended", ended}};
}

std::string minion::how_ended(run const& which, std::int64_t now) const
{
    constexpr std::int64_t never = 0;
    if (which.stops_at != never && now >= which.stops_at)
    {
        return "stopped";
    }
    if (which.fails)
    {
        return now - which.begun >= m_options.fail_ms ? "failed" : "";
    }
    if (which.plan.long_running)
    {
        return "";
    }
    if (!which.plan.all_or_nothing)
    {
        return now - which.begun >= which.plan.work_ms ? "done" : "";
    }
    if (m_fleet.is_finished(which.task, which.attempt))
    {
        return "done";
    }
    if (m_fleet.is_broken(which.task, which.attempt))
    {
        return "broken";
    }
    auto const since = m_fleet.together_since(which.task, which.attempt);
    if (since == never)
    {
        return now - which.begun >= m_options.gang_wait_ms ? "alone" : "";
    }
    if (now - since >= which.plan.work_ms)
    {
        m_fleet.finish(which.task, which.attempt);
        return "done";
    }
    return "";
}

void minion::advance()
{
    auto const at = steady_ms();
    std::vector<std::pair<std::string, std::string>> over;
    for (auto const& [task, each] : m_running)
    {
        auto const how = now() >= m_lease ? "lapsed" : how_ended(each, at);
        if (!how.empty())
        {
            over.emplace_back(task, how);
        }
    }
    for (auto const& [task, how] : over)
    {
        auto const found = m_running.extract(task);
        finish(found.mapped(), how);
    }
}

void minion::finish(run const& which, std::string const& how)
{
    auto& closed = m_closed[which.task];
    closed = std::max(closed, which.attempt);
    m_ended.push_back(
        {++m_last_end, which.task, which.attempt, how, which.record});
    m_fleet.end(which.record, how);
    if (which.plan.all_or_nothing && how != "done")
    {
        m_fleet.leave(which.task, which.attempt);
    }
}

void minion::carry_out_late_orders()
{
    auto const at = steady_ms();
    for (auto const& each : std::exchange(m_late, {}))
    {
        if (each.due > at)
        {
            m_late.push_back(each);
        }
        else
        {
            carry_out(each.target, each.body);
        }
    }
}

void minion::tick()
{
    while (!m_stopping)
    {
        {
            std::lock_guard const lock(m_mutex);
            advance();
            if (m_is_up)
            {
                carry_out_late_orders();
            }
        }
        std::this_thread::sleep_for(tick_pause);
    }
}

void minion::register_again()
{
    std::int64_t next = 0;
    while (!m_stopping)
    {
        if (steady_ms() < next || !m_is_up)
        {
            std::this_thread::sleep_for(tick_pause);
            continue;
        }
        json body{{"service", m_options.service},
                  {"address", to_string(m_options.app)},
                  {"zone", m_options.zone},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", "ready"},
                  {"warmup_left_ms", 0},
                  {"capacity",
                   {{"cpu", m_options.cpu},
                    {"mem_mb", m_options.mem_mb},
                    {"gpu", 0}}},
                  {"labels", m_options.labels},
                  {"server_time_ms", now()},
                  {"born", m_born},
                  {"seq", ++m_sequence}};
        auto const told =
            call(m_options.control,
                 {"PUT", "/instances/" + m_options.id, {}, body.dump()},
                 beat_timeout_ms);
        constexpr std::int64_t retry_ms = 200;
        next = steady_ms() +
               (told.status == 200 ? m_options.heartbeat_ms : retry_ms);
    }
}

} // namespace review
