#include "../harness-2/standins.hpp"

// Case 6: the start of a batch task gets no answer and is carried out late, by
// its worker, which has gone down and up once after the end of the task.

namespace review
{

namespace
{

constexpr int worker_millicores = 32'000;
constexpr milliseconds task_time(500);
constexpr char const* prefix = "/batch/";
constexpr char const* id = "00000000000000c1";

/// `srv_crash` of the site, at its longest.
constexpr milliseconds down_time(4500);
/// An order may be carried out 2 to 12 s late. The worker is down then, and the
/// order reaches it when it is up again.
constexpr milliseconds held_for(6000);

int play(deployment const& system)
{
    record log(system.record_file);
    std::atomic<int> held_by = -1;
    workload work;
    work.duration = [](std::string const&) { return task_time; };
    work.held_for = held_for;
    work.is_held = [&](int worker, std::string const&)
    {
        int none = -1;
        return system.has_trouble &&
               held_by.compare_exchange_strong(none, worker);
    };
    fleet workers(system, log, work, worker_millicores);
    if (!configuration_sender(system, log).apply({make_route("r-1", prefix)}) ||
        !wait_until_serving(system, log, prefix))
    {
        return exit_cannot_run;
    }
    consumer caller(system, log);
    json const job{{"task_spec", "layout"},
                   {"phases",
                    {{{"count", 1},
                      {"cpu", 1000},
                      {"mem_mb", 1000},
                      {"estimate_ms", task_time.count()}}}}};
    auto const accepted_at = steady_clock::now();
    if (caller.submit(prefix, id, job) != 200)
    {
        return exit_cannot_run;
    }
    constexpr milliseconds end_limit(5000);
    constexpr milliseconds pause(200);
    bool const is_completed =
        wait_for(end_limit,
                 [&]
                 {
                     std::this_thread::sleep_for(pause);
                     auto const body = caller.state(prefix, id).body;
                     return body.find("completed") != std::string::npos;
                 });
    if (!is_completed)
    {
        log.write("the submission has not ended: nothing is judged");
        return exit_cannot_run;
    }
    // The end is acknowledged meanwhile.
    constexpr milliseconds settling(3000);
    std::this_thread::sleep_until(accepted_at + settling);
    auto const before = workers.runs();
    if (held_by >= 0)
    {
        workers.crash(held_by);
        std::this_thread::sleep_for(down_time);
        workers.start_again(held_by);
    }
    std::this_thread::sleep_for(settling);
    auto const after = workers.runs();
    for (auto const& each : after)
    {
        log.write("run " + std::to_string(each.attempt) + " on worker " +
                  std::to_string(each.worker) + " from " +
                  std::to_string(each.begun) + " " + each.how);
    }
    bool const was_done =
        std::any_of(before.begin(),
                    before.end(),
                    [](run const& each) { return each.how == "done"; });
    bool const is_twice = was_done && after.size() > before.size();
    log.write(is_twice ? "TWICE: a start after the task was done and its "
                         "submission was shown as completed"
                       : "TWICE holds");
    return is_twice ? exit_broken : exit_held;
}

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    auto const system = review::parse_deployment(argc, argv);
    return system ? review::play(*system) : review::exit_cannot_run;
}
