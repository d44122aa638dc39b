#ifndef TURMERICSWITCH_OVERLOAD_TESTS_LOAD_SIMULATION_HPP
#define TURMERICSWITCH_OVERLOAD_TESTS_LOAD_SIMULATION_HPP

#include "overload/overload.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericswitch::overload::testing
{

inline core::time_point at_s(double seconds)
{
    return core::time_point(std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(seconds)));
}

/// A job that can use any number of cores.
struct simulated_job
{
    double submitted_s = 0;
    /// In core-seconds.
    double work = 0;
    double objective_s = 0;
    /// Estimated work as a multiple of the true one.
    double estimate_factor = 1;
    std::string queue = "q";
};

inline job_account account_of(std::size_t number, simulated_job const& job)
{
    job_account account;
    account.job = core::workflow_id(std::to_string(1000 + number));
    account.queue = core::queue_id(job.queue);
    account.address.path_prefix = "/" + job.queue + "/";
    account.submitted = at_s(job.submitted_s);
    account.objective = at_s(job.objective_s) - core::time_point();
    account.total_work = job.work * job.estimate_factor;
    account.remaining_work = account.total_work;
    account.confidence = job.estimate_factor == 1 ? 1 : 0.3;
    return account;
}

struct load_result
{
    std::vector<double> ended_s;
    std::map<std::string, double> value;
    int in_time = 0;
    double total_value = 0;
};

/// Returns the ranks of the waiting jobs.
using ranking = std::function<job_ranks(std::vector<job_account> const&,
                                        core::time_point now)>;

/// Serves the job that is ranked first with the whole capacity, in steps.
inline load_result simulate(std::vector<simulated_job> const& jobs,
                            double cores,
                            ranking const& rank)
{
    constexpr double step_s = 0.2;
    load_result result;
    result.ended_s.assign(jobs.size(), 0);
    std::vector<double> left;
    double typical = 0;
    for (auto const& job : jobs)
    {
        left.push_back(job.work);
        typical += job.work / static_cast<double>(jobs.size());
    }
    class_fairness fairness;
    std::size_t ended = 0;
    for (double now = 0; ended < jobs.size(); now += step_s)
    {
        std::vector<job_account> waiting;
        std::map<core::workflow_id, std::size_t> numbers;
        for (std::size_t i = 0; i < jobs.size(); ++i)
        {
            if (left[i] > 0 && jobs[i].submitted_s <= now)
            {
                auto account = account_of(i, jobs[i]);
                account.remaining_work = left[i] * jobs[i].estimate_factor;
                account.is_protected =
                    fairness.is_protected(account.address, account.total_work);
                numbers[account.job] = i;
                waiting.push_back(account);
            }
        }
        std::map<std::uint64_t, std::size_t> order;
        for (auto const& [id, each] : rank(waiting, at_s(now)))
        {
            order[each.position] = numbers.at(id);
        }
        auto budget = cores * step_s;
        for (auto const& [position, i] : order)
        {
            auto const done = std::min(budget, left[i]);
            budget -= done;
            left[i] -= done;
            if (done == 0 || left[i] > 0)
            {
                continue;
            }
            ++ended;
            auto const account = account_of(i,
                                            {jobs[i].submitted_s,
                                             jobs[i].work,
                                             jobs[i].objective_s,
                                             1,
                                             jobs[i].queue});
            result.ended_s[i] = now + step_s;
            auto const end = prospect_at(account, at_s(now + step_s));
            auto const value = value_of(account, end, {}, typical);
            fairness.record_end(
                account.address, account.total_work, end == prospect::in_time);
            result.in_time += end == prospect::in_time ? 1 : 0;
            result.total_value += value;
            result.value[jobs[i].queue] += value;
        }
    }
    return result;
}

/// @return Ranks by the module.
inline ranking by_value(double cores)
{
    return [cores](std::vector<job_account> const& accounts,
                   core::time_point now) {
        return rank_jobs(accounts, {{{}, cores}}, now, {});
    };
}

/// @return Ranks by a key; the lowest comes first, then the oldest.
inline ranking by_key(std::function<double(job_account const&)> key)
{
    return [key = std::move(key)](std::vector<job_account> const& accounts,
                                  core::time_point)
    {
        std::map<std::tuple<double, core::time_point, core::workflow_id>, int>
            order;
        for (auto const& each : accounts)
        {
            order[{key(each), each.submitted, each.job}];
        }
        job_ranks ranks;
        for (auto const& [place, unused] : order)
        {
            ranks[std::get<2>(place)].position = ranks.size();
        }
        return ranks;
    };
}

inline ranking by_age()
{
    return by_key([](job_account const&) { return 0.0; });
}

inline ranking by_remaining_work()
{
    return by_key([](job_account const& each) { return each.remaining_work; });
}

inline ranking by_due_time()
{
    return by_key(
        [](job_account const& each)
        {
            return std::chrono::duration<double>(
                       due_time(each).time_since_epoch())
                .count();
        });
}

} // namespace turmericswitch::overload::testing

#endif
