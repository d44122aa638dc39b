#include "../harness-2/standins.hpp"

// Case 9: a configuration gives the host and path prefix of a queue to a route
// of another name, while submissions of the queue are at work.

namespace review
{

namespace
{

constexpr int worker_millicores = 32'000;
/// Longer than the case.
constexpr milliseconds task_time(90'000);

constexpr char const* prefix = "/watch/";
constexpr char const* id = "00000000000000b1";
constexpr std::size_t tasks = 3;

// From the pages: time within which a configuration is in force, and within
// which a cancelled submission starts nothing and its tasks are gone.
constexpr milliseconds config_apply_time(2500);
constexpr milliseconds cancel_time(3000);
constexpr milliseconds stop_time(400);
/// The control group must have been undisturbed for this long.
constexpr milliseconds contact_time(4000);

int play(deployment const& system)
{
    record log(system.record_file);
    workload work;
    work.duration = [](std::string const&) { return task_time; };
    fleet const workers(system, log, work, worker_millicores);
    configuration_sender configuration(system, log);
    auto const other = make_route("r-other", "/other/");
    if (!configuration.apply({make_route("r-first", prefix), other}) ||
        !wait_until_serving(system, log, prefix))
    {
        return exit_cannot_run;
    }
    consumer caller(system, log);
    json const job{{"task_spec", "watch"},
                   {"phases",
                    {{{"count", tasks},
                      {"cpu", 1000},
                      {"mem_mb", 64},
                      {"estimate_ms", task_time.count()}}}}};
    bool const is_at_work =
        caller.submit(prefix, id, job) == 200 &&
        wait_for(contact_time, [&] { return workers.running(id) == tasks; }) &&
        caller.state(prefix, id).status == 200;
    if (!is_at_work)
    {
        return exit_cannot_run;
    }
    // The same change is made to the other route without the disruption.
    bool const is_applied =
        system.has_trouble
            ? configuration.apply({make_route("r-second", prefix), other})
            : configuration.apply({make_route("r-first", prefix),
                                   make_route("r-second", "/other/")});
    if (!is_applied)
    {
        return exit_cannot_run;
    }
    std::this_thread::sleep_for(config_apply_time + contact_time);
    int gone = 0;
    for (int i = 0; i < system.gateways; ++i)
    {
        gone += caller.state(prefix, id).status == 410 ? 1 : 0;
    }
    log.write(std::to_string(workers.running(id)) +
              " tasks of the submission are at work; " + std::to_string(gone) +
              " of " + std::to_string(system.gateways) +
              " gateways say that it doesn't exist");
    auto const cancelled = caller.cancel(prefix, id);
    std::this_thread::sleep_for(cancel_time + stop_time + contact_time);
    log.write("after the cancel, which was answered " +
              std::to_string(cancelled.status) + ": " +
              std::to_string(workers.running(id)) + " tasks are at work");
    bool const is_lost = gone > 0;
    log.write(is_lost ? "LOST: 410 for an accepted submission that nobody has "
                        "cancelled"
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
