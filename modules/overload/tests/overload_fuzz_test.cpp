#include "load_simulation.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <bit>
#include <random>

namespace turmericswitch::overload
{

using namespace testing;

namespace
{

constexpr double cores = 10;

bool can_all_be_in_time(std::vector<job_account> const& in_order,
                        core::time_point now)
{
    double load = 0;
    for (auto const& each : in_order)
    {
        load += each.remaining_work / cores;
        if (now + (at_s(load) - core::time_point()) > due_time(each))
        {
            return false;
        }
    }
    return true;
}

std::vector<job_account> sorted_by_due_time(std::vector<job_account> jobs)
{
    std::stable_sort(jobs.begin(),
                     jobs.end(),
                     [](job_account const& a, job_account const& b)
                     { return due_time(a) < due_time(b); });
    return jobs;
}

/// @return Largest number of jobs that can be in time, by trying all sets.
int most_in_time(std::vector<job_account> const& jobs, core::time_point now)
{
    int most = 0;
    for (unsigned set = 0; set < 1U << jobs.size(); ++set)
    {
        std::vector<job_account> chosen;
        for (std::size_t i = 0; i < jobs.size(); ++i)
        {
            if ((set >> i & 1U) != 0)
            {
                chosen.push_back(jobs[i]);
            }
        }
        if (can_all_be_in_time(sorted_by_due_time(chosen), now))
        {
            most = std::max(most, std::popcount(set));
        }
    }
    return most;
}

/// Jobs that are submitted, served and ended in random order.
class random_load
{
public:
    explicit random_load(std::uint64_t seed) : m_random(seed) {}

    void step()
    {
        m_now_s += draw(0, 30) / 10.0;
        if (m_jobs.size() < 8 && draw(0, 3) > 0)
        {
            m_jobs.push_back(
                account_of(m_submitted++,
                           {m_now_s, draw(1, 60) * 1.0, draw(1, 15) * 1.0}));
        }
        check();
    }

private:
    int draw(int from, int below)
    {
        return std::uniform_int_distribution(from, below - 1)(m_random);
    }

    void check()
    {
        auto const now = at_s(m_now_s);
        // With equal values, the fewest jobs must be late.
        auto const ranks = rank_jobs(m_jobs, {{{}, cores}}, now, {100, 15});
        RC_ASSERT(ranks.size() == m_jobs.size());
        std::vector<job_account> in_order(m_jobs.size());
        int in_time = 0;
        for (auto const& each : m_jobs)
        {
            auto const& rank = ranks.at(each.job);
            RC_ASSERT(rank.position >= 1 && rank.position <= m_jobs.size());
            auto& place = in_order[rank.position - 1];
            RC_ASSERT(place.job.value().empty());
            place = each;
            in_time += rank.expected == prospect::in_time ? 1 : 0;
        }
        RC_ASSERT(in_time == most_in_time(m_jobs, now));
        if (can_all_be_in_time(m_jobs, now))
        {
            RC_ASSERT(
                std::is_sorted(in_order.begin(),
                               in_order.end(),
                               [](job_account const& a, job_account const& b)
                               { return a.submitted < b.submitted; }));
        }
        check_starvation(in_order, now);
        serve(in_order);
    }

    /// The oldest job that has waited too long comes first.
    void check_starvation(std::vector<job_account> const& in_order,
                          core::time_point now)
    {
        auto const starved =
            std::find_if(m_jobs.begin(),
                         m_jobs.end(),
                         [now](job_account const& each) {
                             return now - each.submitted >
                                    each.objective * starvation_factor;
                         });
        bool const is_served = starved == m_jobs.end() ||
                               !serves_starved(now) ||
                               in_order.front().job == starved->job;
        RC_ASSERT(is_served);
    }

    void serve(std::vector<job_account> const& in_order)
    {
        if (in_order.empty())
        {
            return;
        }
        auto const served =
            std::find_if(m_jobs.begin(),
                         m_jobs.end(),
                         [&](job_account const& each)
                         { return each.job == in_order.front().job; });
        served->remaining_work -= draw(0, 30);
        if (served->remaining_work <= 0)
        {
            m_jobs.erase(served);
        }
    }

    std::mt19937_64 m_random;
    double m_now_s = 0;
    std::size_t m_submitted = 0;
    std::vector<job_account> m_jobs;
};

} // namespace

class overload_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(overload_fuzz_test);
    CPPUNIT_TEST(order_is_total_and_loses_the_fewest_jobs);
    CPPUNIT_TEST(shares_follow_the_ranks_and_use_all_cpu);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against jobs that are lost from the order, starve, or are late
    // although they need not be.
    void order_is_total_and_loses_the_fewest_jobs()
    {
        ::turmericswitch::testing::check_property(
            "the order is total and loses the fewest jobs",
            {1, 100, 100},
            []
            {
                random_load load(*rc::gen::arbitrary<std::uint64_t>());
                for (int i = 0; i < 40; ++i)
                {
                    load.step();
                }
            });
    }

    // Guards against CPU that is promised twice, left unused, or given to a
    // task before a better one.
    void shares_follow_the_ranks_and_use_all_cpu()
    {
        ::turmericswitch::testing::check_property(
            "shares follow the ranks and use all CPU",
            {1, 100, 100},
            []
            {
                std::vector<sharing_task> tasks;
                std::int64_t demand = 0;
                for (int i = *rc::gen::inRange(1, 12); i > 0; --i)
                {
                    sharing_task task;
                    task.run.task.index = static_cast<std::uint32_t>(i);
                    task.rank = *rc::gen::inRange(0, 4);
                    task.need = core::millicores(*rc::gen::inRange(1, 8) * 500);
                    demand += task.need.value();
                    tasks.push_back(task);
                }
                auto const available =
                    *rc::gen::inRange<std::int64_t>(0, 30'000);
                auto const shares =
                    share_processor(core::millicores(available), tasks);
                std::int64_t granted = 0;
                for (auto const& task : tasks)
                {
                    auto const share = shares.find(task.run);
                    auto const pace =
                        share == shares.end() ? 100 : share->second;
                    granted += task.need.value() * pace / 100;
                    for (auto const& other : tasks)
                    {
                        bool const follows_rank = other.rank <= task.rank ||
                                                  pace == 100 ||
                                                  shares.contains(other.run);
                        RC_ASSERT(follows_rank);
                    }
                }
                // Rounding and the first task exceed it by less than a request.
                RC_ASSERT(granted >= std::min(available, demand));
                RC_ASSERT(granted <= available + 4000);
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overload_fuzz_test);

} // namespace turmericswitch::overload
