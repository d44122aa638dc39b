#include "deployment.hpp"

#include <cstdio>
#include <exception>
#include <string>
#include <vector>

// A submission whose steps run many times, beside ordinary ones.

namespace
{

using namespace review;

constexpr unsigned usual_times = 8;
constexpr unsigned many_times = 50000;
constexpr std::int64_t cpu_of_task = 100;
constexpr std::int64_t work_ms = 500;
constexpr unsigned ordinary_submissions = 8;
constexpr unsigned big = 100;
constexpr int finish_ms = 14000;
constexpr int budget_ms = 3000;
constexpr int attempts = 5;
constexpr int answered = 200;

nlohmann::json one_step(std::string const& task_spec, unsigned count)
{
    return {{"task_spec", task_spec},
            {"phases",
             {{{"count", count},
               {"cpu", cpu_of_task},
               {"mem_mb", 64},
               {"estimate_ms", work_ms}}}}};
}

nlohmann::json two_steps(std::string const& task_spec)
{
    auto submission = one_step(task_spec, 4);
    auto second = submission["phases"][0];
    second["depends_on"] = {0};
    submission["phases"].push_back(second);
    return submission;
}

/// Asks as consumers do: at most five times, each at the next gateway.
///
/// @return The status of the last answer; 0 if there was none.
int ask_for(deployment& system, std::string const& id)
{
    response answer;
    for (int i = 0; i < attempts && answer.status != answered; ++i)
    {
        answer = system.ask(
            static_cast<std::size_t>(i) % 2, "GET", id, {}, budget_ms);
    }
    system.log().line("GET " + id + " is answered with " +
                      std::to_string(answer.status) + " " + answer.body);
    return answer.status;
}

int play(record& log)
{
    deployment system({}, log);
    if (!system.begin())
    {
        return 2;
    }
    std::vector<std::string> accepted;
    for (unsigned i = 1; i <= ordinary_submissions; ++i)
    {
        auto const id = id_of(i);
        system.all().plan(
            id + ".0", {"ordinary", 4, cpu_of_task, 64, work_ms, false, false});
        system.all().plan(
            id + ".1", {"ordinary", 4, cpu_of_task, 64, work_ms, false, false});
        if (!system.submit(id, two_steps("ordinary")))
        {
            return 2;
        }
        accepted.push_back(id);
    }
    auto const times = has_trouble() ? many_times : usual_times;
    auto repeated = one_step("repeated", 1);
    repeated["repeat_count"] = times;
    system.all().plan(id_of(big) + ".0",
                      {"repeated", 1, cpu_of_task, 64, work_ms, false, false});
    if (!system.submit(id_of(big), repeated))
    {
        log.line("the repeated submission was not accepted");
        return 2;
    }
    accepted.push_back(id_of(big));
    log.line("a submission that runs " + std::to_string(times) +
             " times is accepted; the traffic ends");
    pause_ms(finish_ms);
    std::size_t unanswered = 0;
    for (auto const& id : accepted)
    {
        unanswered += ask_for(system, id) == answered ? 0 : 1;
    }
    log.line("starts of tasks: " + std::to_string(system.all().runs().size()) +
             "; programs that ended by themselves: " +
             std::to_string(system.ended_programs()));
    if (unanswered > 0)
    {
        log.line("LOST: " + std::to_string(unanswered) + " of " +
                 std::to_string(accepted.size()) +
                 " accepted submissions have no answer in time");
        return 1;
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
