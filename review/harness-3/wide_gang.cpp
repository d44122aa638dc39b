#include "deployment.hpp"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <numeric>

// A submission whose tasks work only together, and of which there are more than
// one plan of the leader places.

namespace
{

using namespace review;

constexpr std::uint32_t usual_members = 40;
constexpr std::uint32_t many_members = 240;
constexpr std::int64_t cpu_of_member = 100;
constexpr int finish_ms = 14000;
constexpr int without_run_ms = 3000;
constexpr int sample_ms = 100;

nlohmann::json submission(std::uint32_t members)
{
    return {{"task_spec", "gang"},
            {"phases",
             {{{"count", members},
               {"cpu", cpu_of_member},
               {"mem_mb", 64},
               {"estimate_ms", 1000},
               {"all_or_nothing", true}}}}};
}

int play(record& log)
{
    deployment system({}, log);
    if (!system.begin())
    {
        return 2;
    }
    auto const members = has_trouble() ? many_members : usual_members;
    auto const id = id_of(1);
    system.all().plan(id + ".0",
                      {"gang", members, cpu_of_member, 64, 1000, true, false});
    if (!system.submit(id, submission(members)))
    {
        log.line("it was not accepted");
        return 2;
    }
    log.line("a gang of " + std::to_string(members) + " tasks is accepted; " +
             "it needs " + std::to_string(members * cpu_of_member) +
             " of 128000 thousandths of a core");
    // It is the only submission, so the traffic ends with it.
    auto const asked_from = steady_ms() + finish_ms;
    std::int64_t idle_since = 0;
    while (steady_ms() < asked_from + 2 * without_run_ms)
    {
        auto const runs = system.all().runs();
        bool const is_running =
            std::any_of(runs.begin(),
                        runs.end(),
                        [](run_record const& each) { return each.ended == 0; });
        auto const state = system.state_of(id);
        if (state == "completed")
        {
            log.line("it is shown as completed after " +
                     std::to_string(runs.size()) + " starts");
            return 0;
        }
        if (is_running || steady_ms() < asked_from)
        {
            idle_since = 0;
        }
        else if (idle_since == 0)
        {
            idle_since = steady_ms();
        }
        else if (steady_ms() - idle_since >= without_run_ms)
        {
            log.line("LOST: 14 s after the end of the traffic, and for 3 s "
                     "more, nothing of it runs; its state is " +
                     state + ", starts so far: " + std::to_string(runs.size()));
            return 1;
        }
        pause_ms(sample_ms);
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        review::record log(argc > 1 ? argv[1] : "record.txt");
        return play(log);
    }
    catch (std::exception const& error)
    {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
