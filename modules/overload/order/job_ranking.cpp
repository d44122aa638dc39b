#include "overload/order/job_ranking.hpp"

#include <algorithm>
#include <chrono>
#include <queue>
#include <tuple>

namespace turmericswitch::overload
{

namespace
{

/// In each of these periods, jobs that have waited too long come first for
/// `starved_time`, which is longer than most tasks run.
constexpr core::duration starved_period = std::chrono::seconds(50);
constexpr core::duration starved_time = std::chrono::seconds(5);

/// Most delayed jobs that are tried again, which bounds the time of a ranking.
constexpr std::size_t max_added_back = 32;

/// Smallest work that is assumed to be left, so that values per work are
/// finite.
constexpr double min_work = 0.001;

core::duration from_seconds(double seconds)
{
    // Beyond this the sum with a time point could overflow.
    constexpr double max_seconds = 1e9;
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(std::min(seconds, max_seconds)));
}

struct ranked_job
{
    job_account const* account = nullptr;
    job_rank rank;
    /// Remaining work, in core-seconds.
    double work = 0;
    /// Value in time per core-second that is left. Work that is not known well
    /// is drawn to the average of the queue.
    double density = 0;
    /// 0 for the oldest job.
    std::size_t age_order = 0;
};

using job_list = std::vector<ranked_job*>;

bool is_due_before(ranked_job const* a, ranked_job const* b)
{
    return due_time(*a->account) < due_time(*b->account);
}

auto order_of(ranked_job const& job)
{
    return std::tuple(job.rank.is_starved ? prospect::in_time
                                          : job.rank.expected,
                      job.account->priority,
                      job.rank.position);
}

/// Orders the jobs of one pool and priority, after those of better ones.
class class_ranking
{
public:
    /// @param load Time that the jobs of better priorities need.
    class_ranking(core::time_point now, double capacity, core::duration load)
        : m_now(now), m_capacity(capacity), m_load(load)
    {
    }

    void rank(job_list jobs, value_terms const& terms);

    /// @return Time that the jobs in time and those before them need.
    core::duration load() const noexcept
    {
        return m_load;
    }

private:
    core::duration time_for(double work) const
    {
        return m_capacity > 0 ? from_seconds(work / m_capacity)
                              : core::duration{};
    }

    core::time_point end_of(ranked_job const& job, core::duration load) const
    {
        return m_now +
               std::max(load + time_for(job.work), job.account->remaining_path);
    }

    void estimate(job_list const& jobs, value_terms const& terms) const;
    /// Removes the jobs that can't be in time even if they come first in their
    /// class.
    void remove_late(job_list& jobs) const;
    bool is_in_time(job_list const& jobs) const;
    /// Removes jobs until the others are in time in the order of due times.
    void delay_cheapest(job_list& jobs) const;
    /// Adds delayed jobs for which there is time, because one that was delayed
    /// later left more than was needed.
    void add_back(job_list& jobs) const;
    void set_ends(job_list const& jobs);
    /// @param position Of the first delayed job.
    void rank_delayed(job_list const& by_age, std::uint64_t position) const;
    void put_starved_first(job_list const& by_age) const;

    core::time_point m_now;
    double m_capacity;
    core::duration m_load;
};

void class_ranking::estimate(job_list const& jobs,
                             value_terms const& terms) const
{
    struct sum
    {
        double remaining = 0;
        double count = 0;
    };
    std::map<core::queue_address, sum> queues;
    double total = 0;
    for (auto* const each : jobs)
    {
        auto const& account = *each->account;
        each->work = account.remaining_work;
        total += account.total_work;
        auto& queue = queues[account.address];
        queue.remaining += account.remaining_work;
        ++queue.count;
    }
    auto const typical = total / static_cast<double>(jobs.size());
    for (auto* const each : jobs)
    {
        auto const& account = *each->account;
        auto const& queue = queues[account.address];
        auto const work =
            account.confidence * account.remaining_work +
            (1 - account.confidence) * queue.remaining / queue.count;
        each->density = value_of(account, prospect::in_time, terms, typical) /
                        std::max(work, min_work);
    }
}

void class_ranking::remove_late(job_list& jobs) const
{
    std::erase_if(jobs,
                  [this](ranked_job* const each)
                  {
                      auto const& account = *each->account;
                      each->rank.expected_end = end_of(*each, m_load);
                      each->rank.expected =
                          prospect_at(account, each->rank.expected_end);
                      return each->rank.expected != prospect::in_time;
                  });
}

bool class_ranking::is_in_time(job_list const& jobs) const
{
    auto load = m_load;
    for (auto const* const each : jobs)
    {
        if (end_of(*each, load) > due_time(*each->account))
        {
            return false;
        }
        load += time_for(each->work);
    }
    return true;
}

void class_ranking::delay_cheapest(job_list& jobs) const
{
    std::stable_sort(jobs.begin(), jobs.end(), is_due_before);
    // Of equal jobs the youngest is delayed.
    auto const is_costlier = [](ranked_job const* a, ranked_job const* b)
    {
        return std::tie(a->account->is_protected, a->density, b->age_order) >
               std::tie(b->account->is_protected, b->density, a->age_order);
    };
    std::priority_queue<ranked_job*, job_list, decltype(is_costlier)> kept(
        is_costlier);
    auto load = m_load;
    for (auto* const each : jobs)
    {
        kept.push(each);
        load += time_for(each->work);
        while (!kept.empty() && m_now + load > due_time(*each->account))
        {
            auto* const delayed = kept.top();
            kept.pop();
            load -= time_for(delayed->work);
            delayed->rank.expected = prospect::late;
        }
    }
    add_back(jobs);
}

void class_ranking::add_back(job_list& jobs) const
{
    job_list delayed;
    std::erase_if(jobs,
                  [&delayed](ranked_job* const each)
                  {
                      bool const is_delayed =
                          each->rank.expected != prospect::in_time;
                      if (is_delayed)
                      {
                          delayed.push_back(each);
                      }
                      return is_delayed;
                  });
    std::stable_sort(delayed.begin(),
                     delayed.end(),
                     [](ranked_job const* a, ranked_job const* b)
                     { return a->density > b->density; });
    delayed.resize(std::min(delayed.size(), max_added_back));
    for (auto* const each : delayed)
    {
        auto const place =
            std::upper_bound(jobs.begin(), jobs.end(), each, is_due_before);
        auto with = jobs;
        with.insert(with.begin() + (place - jobs.begin()), each);
        if (is_in_time(with))
        {
            jobs = std::move(with);
            each->rank.expected = prospect::in_time;
        }
    }
}

void class_ranking::set_ends(job_list const& jobs)
{
    for (auto* const each : jobs)
    {
        each->rank.expected_end = end_of(*each, m_load);
        m_load += time_for(each->work);
    }
}

void class_ranking::put_starved_first(job_list const& by_age) const
{
    if (!serves_starved(m_now))
    {
        return;
    }
    for (auto* const each : by_age)
    {
        auto const& account = *each->account;
        if (m_now - account.submitted > account.objective * starvation_factor)
        {
            each->rank.is_starved = true;
            each->rank.position = 0;
            return;
        }
    }
}

void class_ranking::rank_delayed(job_list const& by_age,
                                 std::uint64_t position) const
{
    job_list delayed = by_age;
    std::erase_if(delayed,
                  [](ranked_job const* each)
                  { return each->rank.expected == prospect::in_time; });
    // The late value is the same part of each job's value, so the density in
    // time orders late jobs too.
    std::stable_sort(delayed.begin(),
                     delayed.end(),
                     [](ranked_job const* a, ranked_job const* b)
                     {
                         return std::tuple(a->rank.expected, -a->density) <
                                std::tuple(b->rank.expected, -b->density);
                     });
    auto load = m_load;
    for (auto* const each : delayed)
    {
        each->rank.position = position++;
        each->rank.expected_end = end_of(*each, load);
        each->rank.expected =
            std::max({prospect::late,
                      each->rank.expected,
                      prospect_at(*each->account, each->rank.expected_end)});
        if (each->rank.expected == prospect::late)
        {
            load += time_for(each->work);
        }
    }
}

void class_ranking::rank(job_list jobs, value_terms const& terms)
{
    auto const by_age = jobs;
    estimate(jobs, terms);
    remove_late(jobs);
    bool const is_short = !is_in_time(jobs);
    if (is_short)
    {
        delay_cheapest(jobs);
    }
    set_ends(jobs);
    std::uint64_t position = 1;
    for (auto* const each : jobs)
    {
        each->rank.position = position++;
    }
    rank_delayed(by_age, position);
    for (auto* const each : by_age)
    {
        each->rank.is_reordered = is_short;
    }
    put_starved_first(by_age);
}

} // namespace

bool serves_starved(core::time_point now) noexcept
{
    return now.time_since_epoch() % starved_period < starved_time;
}

job_ranks rank_jobs(std::vector<job_account> const& accounts,
                    pool_capacities const& capacities,
                    core::time_point now,
                    value_terms const& terms)
{
    std::vector<ranked_job> jobs;
    jobs.reserve(accounts.size());
    for (auto const& account : accounts)
    {
        jobs.push_back({&account, {}, 0, 0, 0});
    }
    std::map<capacity_pool, std::map<std::uint32_t, job_list>> classes;
    std::sort(jobs.begin(),
              jobs.end(),
              [](ranked_job const& a, ranked_job const& b)
              {
                  return std::tie(a.account->submitted, a.account->job) <
                         std::tie(b.account->submitted, b.account->job);
              });
    std::size_t age_order = 0;
    for (auto& each : jobs)
    {
        each.age_order = age_order++;
        classes[each.account->pool][each.account->priority].push_back(&each);
    }
    for (auto const& [pool, priorities] : classes)
    {
        auto const capacity = capacities.find(pool);
        core::duration load{};
        for (auto const& [priority, list] : priorities)
        {
            class_ranking ranking(
                now, capacity == capacities.end() ? 0 : capacity->second, load);
            ranking.rank(list, terms);
            load = ranking.load();
        }
    }
    std::stable_sort(jobs.begin(),
                     jobs.end(),
                     [](ranked_job const& a, ranked_job const& b)
                     { return order_of(a) < order_of(b); });
    job_ranks ranks;
    std::uint64_t position = 1;
    for (auto& each : jobs)
    {
        each.rank.position = position++;
        ranks.emplace(each.account->job, each.rank);
    }
    return ranks;
}

} // namespace turmericswitch::overload
