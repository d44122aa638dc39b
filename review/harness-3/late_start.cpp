#include "deployment.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <exception>
#include <mutex>
#include <string>
#include <vector>

// A lasting task's start gets no answer. Its zone is evacuated, so the task
// goes to another zone; then its first minion restarts under its id and carries
// the start out.

namespace
{

using namespace review;

constexpr std::size_t minions = 11;
constexpr unsigned lasting = 1;
constexpr unsigned first_short = 100;
constexpr unsigned short_submissions = 6;
constexpr std::uint32_t short_tasks = 12;
/// Between the first order and the time at which all are carried out.
constexpr std::int64_t carried_out_after_ms = 11500;
constexpr std::int64_t trouble_ms = 5500;
constexpr int evacuated_after_ms = 500;
constexpr int down_from_ms = 8800;
constexpr int up_at_ms = 11700;
constexpr int end_ms = 20000;
constexpr int poll_ms = 5;

/// Leaves the orders for the lasting task on its first minion unanswered.
class first_minion
{
public:
    std::int64_t delay_of(std::size_t minion, std::string const& task)
    {
        std::lock_guard const lock(m_mutex);
        ++m_orders;
        bool const is_lasting = task.starts_with(id_of(lasting));
        if (!has_trouble() || !is_lasting)
        {
            return 0;
        }
        if (m_first_order == 0)
        {
            m_first_order = steady_ms();
            m_minion = minion;
        }
        auto const passed = steady_ms() - m_first_order;
        // Only the calls of the first start; the stop is answered.
        if (minion != m_minion || passed > trouble_ms || m_unanswered == most)
        {
            return 0;
        }
        ++m_unanswered;
        return carried_out_after_ms - passed;
    }

    std::int64_t first_order()
    {
        std::lock_guard const lock(m_mutex);
        return m_first_order;
    }

    std::size_t index()
    {
        std::lock_guard const lock(m_mutex);
        return m_minion;
    }

    std::string summary()
    {
        std::lock_guard const lock(m_mutex);
        return std::to_string(m_unanswered) + " of " +
               std::to_string(m_orders) + " orders got no answer";
    }

private:
    /// Calls of a sidecar for one start.
    static constexpr int most = 3;

    std::mutex m_mutex;
    std::int64_t m_first_order = 0;
    std::size_t m_minion = 0;
    int m_unanswered = 0;
    int m_orders = 0;
};

nlohmann::json submission(std::uint32_t count, bool is_lasting)
{
    nlohmann::json step{
        {"count", count}, {"cpu", 400}, {"mem_mb", 64}, {"estimate_ms", 400}};
    if (is_lasting)
    {
        step["long_running"] = true;
    }
    return {{"task_spec", "t"}, {"phases", {step}}};
}

/// @return The overlap of two runs of the lasting task, in milliseconds; 0 if
///         there is none.
std::int64_t find_overlap(record& log, std::vector<run_record> const& runs)
{
    std::int64_t longest = 0;
    auto const now = steady_ms();
    for (std::size_t i = 0; i < runs.size(); ++i)
    {
        for (std::size_t k = i + 1; k < runs.size(); ++k)
        {
            auto const& a = runs[i];
            auto const& b = runs[k];
            auto const end = std::min(a.ended == 0 ? now : a.ended,
                                      b.ended == 0 ? now : b.ended);
            if (a.task == b.task && a.task.starts_with(id_of(lasting)) &&
                b.begun < end)
            {
                log.line("TWICE: " + a.task + " runs on " + a.minion +
                         " (attempt " + std::to_string(a.attempt) + ") and " +
                         b.minion + " (attempt " + std::to_string(b.attempt) +
                         ") at the same time, for " +
                         std::to_string(end - b.begun) + " ms");
                longest = std::max(longest, end - b.begun);
            }
        }
    }
    return longest;
}

int play(record& log)
{
    first_minion first;
    deployment_options options;
    options.minions = minions;
    options.adapt = [&first](std::size_t index, minion_options& minion)
    {
        minion.keeps_late_orders = true;
        minion.delays = [&first, index](std::string const& task)
        { return first.delay_of(index, task); };
    };
    deployment system(options, log);
    if (!system.begin())
    {
        return 2;
    }
    auto const id = id_of(lasting);
    system.all().plan(id + ".0", {"t", 1, 400, 64, 0, false, true});
    auto const begun = steady_ms();
    if (!system.submit(id, submission(1, true)))
    {
        return 2;
    }
    for (unsigned i = 0; i < short_submissions; ++i)
    {
        auto const other = id_of(first_short + i);
        system.all().plan(other + ".0",
                          {"t", short_tasks, 400, 64, 400, false, false});
        if (!system.submit(other, submission(short_tasks, false)))
        {
            return 2;
        }
    }
    if (has_trouble())
    {
        wait_until(evacuated_after_ms,
                   [&first] { return first.first_order() != 0; });
        auto const worker = first.index();
        log.line("the start of the lasting task on i-" +
                 std::to_string(worker) + " gets no answer");
        auto const at = [&begun](int time) {
            wait_until(end_ms,
                       [&begun, time] { return steady_ms() >= begun + time; });
        };
        at(evacuated_after_ms);
        constexpr std::size_t zones = 3;
        std::string const names = "abc";
        std::string const zone = std::string("zone-") + names[worker % zones];
        auto const answer = system.operate(0, "POST", "/evacuations/" + zone);
        log.line("POST /evacuations/" + zone + " is answered with " +
                 std::to_string(answer.status));
        at(down_from_ms);
        log.line(first.summary());
        system.worker(worker).crash();
        log.line("i-" + std::to_string(worker) + " goes down");
        at(up_at_ms);
        system.worker(worker).restart();
        log.line("i-" + std::to_string(worker) + " is up again");
    }
    while (steady_ms() < begun + end_ms)
    {
        pause_ms(poll_ms);
    }
    auto const runs = system.all().runs();
    for (auto const& each : runs)
    {
        if (each.task.starts_with(id))
        {
            log.line("run of " + each.task + " on " + each.minion +
                     ", attempt " + std::to_string(each.attempt) + ", from " +
                     std::to_string(each.begun - begun) + " to " +
                     std::to_string(each.ended == 0 ? 0 : each.ended - begun) +
                     " ms, " + each.how);
        }
    }
    return find_overlap(log, runs) > 0 ? 1 : 0;
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
