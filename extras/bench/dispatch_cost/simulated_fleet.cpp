#include "dispatch_cost/simulated_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace turmericswitch::bench
{

namespace
{

constexpr core::duration step_length = std::chrono::milliseconds(5);
constexpr core::duration commit_delay = std::chrono::milliseconds(25);
constexpr core::duration report_interval = std::chrono::seconds(1);
constexpr core::duration checkpoint_interval = std::chrono::milliseconds(500);
constexpr core::duration lease = std::chrono::seconds(10);

constexpr std::int64_t worker_millicores = 32'000;
constexpr std::int64_t worker_mebibytes = 128'000;
constexpr std::int64_t mebibyte = 1 << 20;
constexpr std::size_t workers_per_rack = 20;

/// A kind of job that arrives at a rate in proportion to the workers.
struct job_kind
{
    char const* queue;
    double per_worker_s;
    std::uint32_t priority;
    std::size_t stages;
    std::uint32_t tasks;
    std::int64_t millicores;
    std::int64_t mebibytes;
    core::duration estimate;
    std::size_t images;
};

job_kind const urgent{
    "urgent", 0.1, 0, 2, 13, 1300, 2600, std::chrono::milliseconds(640), 0};
job_kind const wide{
    "wide", 0.028, 2, 2, 40, 3500, 6400, std::chrono::milliseconds(1700), 30};
job_kind const service{
    "service", 0.001, 0, 1, 24, 6400, 13'000, core::duration{}, 16};

job_kind const kinds[] = {urgent, wide, service};

core::queue_rule rule_of(job_kind const& kind)
{
    core::queue_rule rule;
    rule.queue = core::queue_id(kind.queue);
    rule.service = core::service_id("service");
    rule.priority = kind.priority;
    rule.attempts = 3;
    rule.stretch_permille = 1500;
    rule.target_latency = std::chrono::milliseconds(400);
    return rule;
}

/// Adds the processor time of its lifetime to a cost.
class cost_timer
{
public:
    explicit cost_timer(event_cost& cost) : m_cost(cost), m_begun(cpu_ms()) {}

    ~cost_timer()
    {
        ++m_cost.events;
        m_cost.cpu_ms += cpu_ms() - m_begun;
    }

    cost_timer(cost_timer const&) = delete;
    cost_timer& operator=(cost_timer const&) = delete;

private:
    static double cpu_ms()
    {
        timespec spent{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
        return static_cast<double>(spent.tv_sec) * 1e3 +
               static_cast<double>(spent.tv_nsec) / 1e6;
    }

    event_cost& m_cost;
    double m_begun;
};

std::string hexadecimal(std::uint64_t number)
{
    constexpr char digits[] = "0123456789abcdef";
    constexpr std::size_t length = 16;
    std::string text(length, '0');
    for (auto digit = text.rbegin(); number > 0; ++digit, number >>= 4)
    {
        *digit = digits[number & 0xf];
    }
    return text;
}

workflow::dispatch_options with_leases(workflow::dispatch_options options)
{
    options.leases = {lease, lease};
    return options;
}

} // namespace

double dispatch_cost::total_ms() const
{
    return reports.cpu_ms + plans.cpu_ms + commits.cpu_ms + orders.cpu_ms;
}

simulated_fleet::simulated_fleet(std::size_t workers,
                                 std::uint64_t seed,
                                 workflow::dispatch_options options)
    : m_random(core::seeded_random(seed)),
      m_now(std::chrono::seconds(1000)),
      m_dispatcher(m_table,
                   with_leases(options),
                   core::term(1),
                   m_now,
                   [](core::event const&) {}),
      m_workers(workers),
      m_arrivals(std::size(kinds))
{
    for (std::size_t i = 0; i < workers; ++i)
    {
        auto& profile = m_workers[i].profile;
        profile.worker = core::worker_id("i-" + hexadecimal(i).substr(8));
        profile.life = core::incarnation(1);
        profile.service = core::service_id("service");
        profile.zone = core::zone_id("zone-" + std::to_string(i % 6));
        profile.rack =
            core::rack_id("rack-" + std::to_string(i / workers_per_rack));
        profile.labels = {"plain", profile.rack.value()};
        profile.capacity.cpu = core::millicores(worker_millicores);
        profile.capacity.memory = core::byte_count(worker_mebibytes * mebibyte);
        m_indices.emplace(profile.worker, i);
        m_workers[i].next_report =
            m_now + core::duration(
                        core::random_below(m_random, report_interval.count()));
    }
}

dispatch_cost simulated_fleet::run(core::duration warm_up,
                                   core::duration measured)
{
    auto const begin = m_now + warm_up;
    while (m_now < begin)
    {
        step();
    }
    m_cost = {};
    while (m_now < begin + measured)
    {
        step();
    }
    return m_cost;
}

void simulated_fleet::step()
{
    m_now += step_length;
    submit_jobs();
    end_runs();
    for (std::size_t i = 0; i < m_workers.size(); ++i)
    {
        auto const& worker = m_workers[i];
        bool const has_ends = !worker.ended.empty();
        if (!worker.is_reporting && (has_ends || m_now >= worker.next_report))
        {
            report(i);
        }
    }
    finish_commit();
    plan();
    deliver_orders();
    answer_reports();
}

void simulated_fleet::submit_jobs()
{
    constexpr double steps_per_s = std::chrono::seconds(1) / step_length;
    for (std::size_t i = 0; i < std::size(kinds); ++i)
    {
        auto const& kind = kinds[i];
        m_arrivals[i] += kind.per_worker_s *
                         static_cast<double>(m_workers.size()) / steps_per_s;
        for (; m_arrivals[i] >= 1; --m_arrivals[i])
        {
            core::stage_description stage;
            stage.tasks = kind.tasks;
            stage.need.cpu = core::millicores(kind.millicores);
            stage.need.memory = core::byte_count(kind.mebibytes * mebibyte);
            stage.estimate = kind.estimate;
            auto& behaviour = stage.behaviour;
            behaviour.long_running = kind.estimate == core::duration{};
            behaviour.uses_spare_cpu = kind.priority > 0;
            behaviour.checkpoints = behaviour.uses_spare_cpu;
            if (behaviour.long_running)
            {
                behaviour.target_latency = std::chrono::milliseconds(150);
                stage.constraints.max_per_worker = 2;
            }
            if (kind.images > 0)
            {
                behaviour.image =
                    kind.queue +
                    std::to_string(core::random_below(m_random, kind.images));
            }
            std::vector<core::stage_description> stages(kind.stages, stage);
            for (std::uint32_t later = 1; later < stages.size(); ++later)
            {
                stages[later].after = {later - 1};
            }
            submit(rule_of(kind), std::move(stages));
        }
    }
}

void simulated_fleet::submit(core::queue_rule const& queue,
                             std::vector<core::stage_description> stages)
{
    core::submit_workflow command;
    command.queue = queue.queue;
    command.workflow = core::workflow_id(hexadecimal(m_random() ^ ++m_jobs));
    command.description.payload = std::string(200, 'p');
    command.description.stages = std::move(stages);
    m_table.submit(command, queue, m_now);
    ++m_cost.submitted_jobs;
}

void simulated_fleet::end_runs()
{
    while (!m_ends.empty() && m_ends.top().first <= m_now)
    {
        auto const [index, run] = m_ends.top().second;
        m_ends.pop();
        auto& worker = m_workers[index];
        if (worker.running.erase(run) > 0)
        {
            worker.ended.push_back(
                {++worker.last_end, run, core::run_end::done, {}});
        }
    }
}

core::worker_runs simulated_fleet::runs_of(worker_state const& from) const
{
    constexpr std::int64_t serving_tail_ms = 60;
    core::worker_runs runs;
    runs.ended = from.ended;
    for (auto const& [run, task] : from.running)
    {
        core::running_task listed;
        listed.run = run;
        auto const saved = (m_now - task.begun) / checkpoint_interval;
        if (!task.is_serving && saved > 0)
        {
            listed.checkpoint = core::checkpoint_id(hexadecimal(saved));
        }
        listed.load = task.is_serving ? serving_tail_ms : wide.millicores;
        runs.running.push_back(listed);
    }
    return runs;
}

void simulated_fleet::report(std::size_t index)
{
    auto& worker = m_workers[index];
    core::runtime_report report;
    report.host = core::instance_id("host" + std::to_string(index));
    report.profile = worker.profile;
    report.clock = m_now.time_since_epoch();
    report.runs = runs_of(worker);
    worker.is_reporting = true;
    worker.next_report = m_now + report_interval;
    m_waiting_reports.insert(index);
    cost_timer const timer(m_cost.reports);
    m_dispatcher.report(m_now, std::move(report));
}

void simulated_fleet::plan()
{
    if (m_commit)
    {
        return;
    }
    cost_timer const timer(m_cost.plans);
    if (auto command = m_dispatcher.plan({m_now, m_now, {}}, m_config))
    {
        m_commit = commit{m_now + commit_delay, std::move(*command)};
    }
}

void simulated_fleet::finish_commit()
{
    if (!m_commit || m_now < m_commit->at)
    {
        return;
    }
    cost_timer const timer(m_cost.commits);
    m_table.progress(m_commit->command, m_now);
    m_dispatcher.applied(m_now, m_commit->command);
    m_cost.ended_runs += m_commit->command.ends.size();
    m_commit.reset();
}

void simulated_fleet::answer_reports()
{
    std::erase_if(
        m_waiting_reports,
        [this](std::size_t index)
        {
            auto& worker = m_workers[index];
            auto const& id = worker.profile.worker;
            if (m_dispatcher.has_uncommitted_ends(id))
            {
                return false;
            }
            auto const grant = m_dispatcher.grant(id, worker.profile.life);
            std::erase_if(worker.ended,
                          [&grant](core::ended_run const& each)
                          { return each.number <= grant.acknowledged_ends; });
            worker.is_reporting = false;
            return true;
        });
}

void simulated_fleet::deliver_orders()
{
    cost_timer const timer(m_cost.orders);
    for (auto const& id : m_dispatcher.workers_with_orders(m_now))
    {
        auto const index = m_indices.at(id);
        execute(index,
                m_dispatcher.take_orders(
                    m_now, id, m_workers[index].profile.life, m_config));
    }
}

core::duration simulated_fleet::run_time(core::stage_description const& stage)
{
    constexpr double spread = 0.5;
    double const factor = 1.0 + spread * (2 * core::random_unit(m_random) - 1);
    return core::duration(static_cast<std::int64_t>(
        static_cast<double>(stage.estimate.count()) * factor));
}

void simulated_fleet::execute(std::size_t index,
                              core::runtime_orders const& orders)
{
    auto& worker = m_workers[index];
    for (auto const& group : orders.starts)
    {
        for (auto const& start : group.starts)
        {
            auto const* const stage = m_table.find_stage(start.run.task);
            bool const is_serving =
                stage == nullptr || stage->behaviour.long_running;
            auto const ends =
                is_serving ? core::time_point::max() : m_now + run_time(*stage);
            worker.running.emplace(start.run,
                                   running_task{m_now, ends, is_serving});
            m_ends.push({ends, {index, start.run}});
        }
    }
}

} // namespace turmericswitch::bench
