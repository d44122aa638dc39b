#include "workflow/dispatch/run_time_model.hpp"
#include "workflow/dispatch/stage_backlog.hpp"
#include "workflow/dispatch/stage_planner.hpp"

#include <chrono>
#include <cstdio>
#include <malloc.h>

// Measures the memory and the time of a plan over the number of waiting tasks.

namespace
{

using namespace turmericswitch;
using namespace turmericswitch::workflow;

constexpr std::uint32_t max_tasks_per_stage = 100'000;
constexpr std::size_t max_stages_per_job = 40;
constexpr std::size_t workers = 240;
constexpr std::size_t max_placements = 200;
constexpr int plans = 20;

/// @return Bytes in use on the heap. Unlike the resident size, it does not
///         depend on what was freed before.
double heap_mb()
{
    return static_cast<double>(::mallinfo2().uordblks) / 1e6;
}

void submit(workflow_table& table, std::uint64_t tasks)
{
    core::queue_rule queue;
    queue.queue = core::queue_id("queue");
    queue.service = core::service_id("service");
    queue.attempts = 3;
    for (int number = 0; tasks > 0; ++number)
    {
        core::submit_workflow command;
        command.queue = queue.queue;
        command.workflow = core::workflow_id("job-" + std::to_string(number));
        auto& stages = command.description.stages;
        while (tasks > 0 && stages.size() < max_stages_per_job)
        {
            core::stage_description stage;
            stage.tasks = static_cast<std::uint32_t>(
                std::min<std::uint64_t>(tasks, max_tasks_per_stage));
            stage.need.cpu = core::millicores(1000);
            stage.estimate = std::chrono::seconds(1);
            tasks -= stage.tasks;
            stages.push_back(std::move(stage));
        }
        table.submit(command, queue, {});
    }
}

candidate_worker make_worker(std::size_t number)
{
    candidate_worker worker;
    worker.worker = core::worker_id("worker-" + std::to_string(number));
    worker.life = core::incarnation(1);
    worker.service = core::service_id("service");
    worker.capacity.cpu = core::millicores(32'000);
    worker.free = worker.capacity;
    worker.spare = worker.capacity.cpu;
    return worker;
}

/// Commits placements until the workers are full, and then measures plans that
/// find no room.
void measure(std::uint64_t tasks)
{
    auto const before = heap_mb();
    workflow_table table;
    run_time_model const run_times;
    worker_fleet const fleet({}, {}, {});
    stage_backlog backlog(table, run_times, fleet);
    submit(table, tasks);
    std::vector<candidate_worker> all;
    all.reserve(workers);
    for (std::size_t i = 0; i < workers; ++i)
    {
        all.push_back(make_worker(i));
    }
    std::vector<candidate_worker*> candidates;
    candidates.reserve(all.size());
    for (auto& each : all)
    {
        candidates.push_back(&each);
    }
    auto const no_tail = [](core::worker_id const&, cpu_by_image const&)
    { return 0.0; };
    double longest_ms = 0;
    double total_ms = 0;
    for (int i = 0; i < plans; ++i)
    {
        auto const begun = std::chrono::steady_clock::now();
        core::workflow_progress command;
        command.placements = plan_stages(
            backlog.collect({}), candidates, max_placements, no_tail);
        table.progress(command, {});
        std::chrono::duration<double, std::milli> const took =
            std::chrono::steady_clock::now() - begun;
        longest_ms = std::max(longest_ms, took.count());
        total_ms += took.count();
    }
    std::printf("%12lu  %10.2f  %12.3f  %12.3f\n",
                static_cast<unsigned long>(tasks),
                heap_mb() - before,
                total_ms / plans,
                longest_ms);
}

} // namespace

int main()
{
    std::printf(
        "%12s  %10s  %12s  %12s\n", "waiting", "MB", "ms a plan", "longest ms");
    for (std::uint64_t const tasks :
         {1'000U, 10'000U, 100'000U, 1'000'000U, 10'000'000U})
    {
        measure(tasks);
    }
    return 0;
}
