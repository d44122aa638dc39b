#include "../harness-2/standins.hpp"

// Case 9: a submission whose tasks work only together, with more of them than
// the scheduler places in one plan.

namespace review
{

namespace
{

constexpr int worker_millicores = 32'000;
constexpr int task_millicores = 100;
constexpr milliseconds task_time(500);

// Members of the large gang, with and without the disruption.
constexpr std::size_t large_gang = 240;
constexpr std::size_t usual_gang = 36;

constexpr char const* prefix = "/batch/";
constexpr char const* gang_id = "00000000000000a1";
constexpr char const* other_id = "00000000000000a2";

// From the page with the bounds: when submissions are asked for after the end
// of the traffic, and for how long one may have nothing running.
constexpr milliseconds finish_time(14'000);
constexpr milliseconds longest_idle(3000);

json make_job(std::size_t tasks, bool is_gang)
{
    json phase{{"count", tasks},
               {"cpu", task_millicores},
               {"mem_mb", 64},
               {"estimate_ms", task_time.count()}};
    if (is_gang)
    {
        phase["all_or_nothing"] = true;
    }
    return {{"task_spec", "layout"}, {"phases", {phase}}};
}

int play(deployment const& system)
{
    record log(system.record_file);
    auto const members = system.has_trouble ? large_gang : usual_gang;
    workload work;
    work.duration = [](std::string const&) { return task_time; };
    work.gangs[std::string(gang_id) + ".0.0"] = members;
    fleet const workers(system, log, work, worker_millicores);
    if (!configuration_sender(system, log).apply({make_route("r-1", prefix)}) ||
        !wait_until_serving(system, log, prefix))
    {
        return exit_cannot_run;
    }
    consumer caller(system, log);
    // As many tasks of the same size that need not work together.
    if (caller.submit(prefix, other_id, make_job(members, false)) != 200 ||
        caller.submit(prefix, gang_id, make_job(members, true)) != 200)
    {
        return exit_cannot_run;
    }
    log.write("end of the traffic");
    std::this_thread::sleep_for(finish_time);
    auto const other = caller.state(prefix, other_id);
    auto const first = caller.state(prefix, gang_id);
    auto const started = workers.started(gang_id);
    bool const has_run = wait_for(
        longest_idle, [&] { return workers.started(gang_id) > started; });
    auto const last = caller.state(prefix, gang_id);
    std::size_t in_use = 0;
    for (auto const& each : workers.runs())
    {
        in_use += each.ended ? 0 : 1;
    }
    log.write("gang of " + std::to_string(members) + ": " +
              std::to_string(workers.started(gang_id)) + " starts; of " +
              std::to_string(system.workers * worker_millicores) +
              " millicores " + std::to_string(in_use * task_millicores) +
              " are in use and the gang needs " +
              std::to_string(members * task_millicores));
    if (other.body.find("completed") == std::string::npos)
    {
        log.write("the other submission has not ended: nothing is judged");
        return exit_cannot_run;
    }
    bool const is_lost = first.status == 200 && last.status == 200 &&
                         last.body.find("completed") == std::string::npos &&
                         started == 0 && !has_run;
    log.write(is_lost ? "LOST: accepted, and nothing of it runs"
                      : "LOST holds");
    return is_lost ? exit_broken : exit_held;
}

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    auto const system = review::parse_deployment(argc, argv);
    return system ? review::play(*system) : review::exit_cannot_run;
}
