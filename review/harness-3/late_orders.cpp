#include "deployment.hpp"

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdio>
#include <exception>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

// For some seconds, minions leave a share of their orders unanswered and carry
// them out late, while the last steps of some submissions start.

namespace
{

using namespace review;

constexpr unsigned seed = 3;
constexpr unsigned submissions = 8;
constexpr std::uint32_t tasks_in_last_step = 24;
constexpr std::int64_t cpu_of_task = 300;
constexpr double share_of_late_orders = 0.061;
constexpr std::int64_t first_work_ms = 5000;
constexpr std::int64_t last_work_ms = 500;
/// From the end of the traffic.
constexpr int trouble_begins_ms = 4500;
constexpr int trouble_ms = 5500;
constexpr int least_delay_ms = 2000;
constexpr int most_delay_ms = 12000;
constexpr int finish_ms = 14000;
constexpr int without_run_ms = 3000;
constexpr int sample_ms = 20;

/// The orders that are carried out late.
class late_orders
{
public:
    void begin()
    {
        m_until = steady_ms() + trouble_ms;
    }

    std::int64_t draw()
    {
        std::lock_guard const lock(m_mutex);
        if (steady_ms() >= m_until)
        {
            return 0;
        }
        ++m_orders;
        if (!std::bernoulli_distribution(share_of_late_orders)(m_random))
        {
            return 0;
        }
        ++m_late;
        return std::uniform_int_distribution<std::int64_t>(
            least_delay_ms, most_delay_ms)(m_random);
    }

    std::string summary()
    {
        std::lock_guard const lock(m_mutex);
        return std::to_string(m_late) + " of " + std::to_string(m_orders) +
               " orders in these 5.5 s got no answer";
    }

private:
    std::mutex m_mutex;
    int m_orders = 0;
    int m_late = 0;
    std::mt19937 m_random{seed};
    std::atomic<std::int64_t> m_until = 0;
};

nlohmann::json submission()
{
    return {{"task_spec", "two steps"},
            {"phases",
             {{{"count", 1},
               {"cpu", cpu_of_task},
               {"mem_mb", 64},
               {"estimate_ms", first_work_ms}},
              {{"count", tasks_in_last_step},
               {"cpu", cpu_of_task},
               {"mem_mb", 64},
               {"estimate_ms", last_work_ms},
               {"depends_on", {0}}}}}};
}

bool is_running(std::vector<run_record> const& runs, std::string const& id)
{
    return std::any_of(runs.begin(),
                       runs.end(),
                       [&id](run_record const& each) {
                           return each.ended == 0 && each.task.starts_with(id);
                       });
}

std::ptrdiff_t count_done(std::vector<run_record> const& runs,
                          std::string const& id)
{
    return std::count_if(runs.begin(),
                         runs.end(),
                         [&id](run_record const& each) {
                             return each.how == "done" &&
                                    each.task.starts_with(id);
                         });
}

int play(record& log)
{
    late_orders late;
    deployment_options options;
    options.adapt = [&late](std::size_t, minion_options& minion)
    { minion.delays = [&late](std::string const&) { return late.draw(); }; };
    deployment system(options, log);
    if (!system.begin())
    {
        return 2;
    }
    for (unsigned i = 1; i <= submissions; ++i)
    {
        auto const id = id_of(i);
        system.all().plan(
            id + ".0",
            {"two steps", 1, cpu_of_task, 64, first_work_ms, false, false});
        system.all().plan(id + ".1",
                          {"two steps",
                           tasks_in_last_step,
                           cpu_of_task,
                           64,
                           last_work_ms,
                           false,
                           false});
        if (!system.submit(id, submission()))
        {
            return 2;
        }
    }
    auto const traffic_end = steady_ms();
    log.line("the submissions are accepted; the traffic ends");
    pause_ms(trouble_begins_ms);
    if (has_trouble())
    {
        late.begin();
        log.line("for 5.5 s, a share of 0.061 of the orders gets no answer and "
                 "is carried out 2 to 12 s later");
    }
    auto const asked_from = traffic_end + finish_ms;
    wait_until(finish_ms, [=] { return steady_ms() >= asked_from; });
    log.line(late.summary());
    std::map<std::string, std::int64_t> idle_since;
    while (steady_ms() < asked_from + 2 * without_run_ms)
    {
        auto const runs = system.all().runs();
        for (unsigned i = 1; i <= submissions; ++i)
        {
            auto const id = id_of(i);
            if (is_running(runs, id) || system.state_of(id) == "completed")
            {
                idle_since.erase(id);
                continue;
            }
            auto const since = idle_since.try_emplace(id, steady_ms());
            if (steady_ms() - since.first->second < without_run_ms)
            {
                continue;
            }
            log.line("LOST: 14 s after the end of the traffic, and for 3 s "
                     "more, nothing of " +
                     id + " runs on the idle minions; state " +
                     system.state_of(id) + ", " +
                     std::to_string(count_done(runs, id)) + " of " +
                     std::to_string(1 + tasks_in_last_step) + " tasks done");
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
