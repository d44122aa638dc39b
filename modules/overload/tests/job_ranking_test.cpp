#include "load_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

namespace turmericswitch::overload
{

using namespace testing;

namespace
{

/// @return Jobs that are submitted at equal intervals.
std::vector<simulated_job>
stream(std::size_t count, double interval_s, simulated_job const& each)
{
    std::vector<simulated_job> jobs(count, each);
    for (std::size_t i = 0; i < count; ++i)
    {
        jobs[i].submitted_s = static_cast<double>(i) * interval_s;
    }
    return jobs;
}

/// Small jobs that arrive once a second, with a large one at every tenth. The
/// whole needs 96% of 10 cores at a load of 1.
std::vector<simulated_job> mixed_stream(double load, double large_objective_s)
{
    auto jobs = stream(200, 1.0, {0, 4 * load, 9});
    for (std::size_t i = 0; i < jobs.size(); i += 10)
    {
        jobs[i].work = 60 * load;
        jobs[i].objective_s = large_objective_s;
    }
    return jobs;
}

constexpr double cores = 10;

void print(char const* load, std::vector<simulated_job> const& jobs)
{
    std::cout << load << ':';
    for (auto const& [name, rank] : {std::pair("age", by_age()),
                                     {"due time", by_due_time()},
                                     {"remaining work", by_remaining_work()},
                                     {"value", by_value(cores)}})
    {
        auto const result = simulate(jobs, cores, rank);
        std::cout << ' ' << name << ' ' << result.in_time << '/' << jobs.size()
                  << " value " << result.total_value << ';';
    }
    std::cout << '\n';
}

} // namespace

class job_ranking_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_ranking_test);
    CPPUNIT_TEST(calm_day_keeps_the_order_of_age);
    CPPUNIT_TEST(burst_of_the_widest_class);
    CPPUNIT_TEST(equal_values_end_one_after_the_other);
    CPPUNIT_TEST(one_huge_job_among_many_small);
    CPPUNIT_TEST(hopeless_jobs_first);
    CPPUNIT_TEST(estimates_wrong_by_a_factor_of_10);
    CPPUNIT_TEST(class_that_is_always_more_expensive);
    CPPUNIT_TEST(better_priority_comes_first);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against delaying large jobs that could be in time.
    void calm_day_keeps_the_order_of_age()
    {
        auto const jobs = mixed_stream(0.8, 6.5);
        print("calm", jobs);
        auto const by_rank = simulate(jobs, cores, by_value(cores));
        CPPUNIT_ASSERT(by_rank.ended_s ==
                       simulate(jobs, cores, by_age()).ended_s);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(jobs.size()), by_rank.in_time);
    }

    // Guards against a burst that makes nearly all of its jobs late.
    void burst_of_the_widest_class()
    {
        auto const jobs = stream(69, 0.5, {0, 20, 8});
        print("burst", jobs);
        auto const by_rank = simulate(jobs, cores, by_value(cores));
        auto const aged = simulate(jobs, cores, by_age());
        CPPUNIT_ASSERT(by_rank.in_time >= 15);
        CPPUNIT_ASSERT(aged.in_time <= 6);
        CPPUNIT_ASSERT(by_rank.total_value > aged.total_value);
    }

    // Guards against equal jobs that share the capacity and all end late.
    void equal_values_end_one_after_the_other()
    {
        auto const jobs = stream(10, 0, {0, 10, 5});
        CPPUNIT_ASSERT_EQUAL(5, simulate(jobs, cores, by_value(cores)).in_time);
    }

    // Guards against one job that makes many others late.
    void one_huge_job_among_many_small()
    {
        auto jobs = stream(100, 0.4, {0, 3, 3});
        jobs[0].work = 300;
        jobs[0].objective_s = 30;
        print("huge", jobs);
        auto const by_rank = simulate(jobs, cores, by_value(cores));
        CPPUNIT_ASSERT(by_rank.in_time >= 95);
        // Not starved: it ends soon after the small ones.
        CPPUNIT_ASSERT(by_rank.ended_s[0] < 70);
    }

    // Guards against serving jobs whose results are useless first.
    void hopeless_jobs_first()
    {
        auto jobs = stream(40, 0, {0, 10, 2});
        for (std::size_t i = 0; i < 20; ++i)
        {
            jobs[20 + i].submitted_s = 8 + static_cast<double>(i);
        }
        auto const by_rank = simulate(jobs, cores, by_value(cores));
        CPPUNIT_ASSERT(by_rank.in_time >=
                       simulate(jobs, cores, by_age()).in_time + 15);
    }

    // Guards against an order that wrong estimates make worse than that of age.
    void estimates_wrong_by_a_factor_of_10()
    {
        for (double const factor : {0.1, 10.0})
        {
            auto jobs = mixed_stream(1.4, 14);
            for (std::size_t i = 0; i < jobs.size(); i += 3)
            {
                jobs[i].estimate_factor = factor;
            }
            print(factor < 1 ? "a third of estimates too low"
                             : "a third of estimates too high",
                  jobs);
            auto const by_rank = simulate(jobs, cores, by_value(cores));
            auto const aged = simulate(jobs, cores, by_age());
            CPPUNIT_ASSERT(by_rank.total_value >= aged.total_value);
        }
    }

    // Guards against a class of large jobs that is never in time.
    void class_that_is_always_more_expensive()
    {
        auto jobs = mixed_stream(1.3, 14);
        print("overload", jobs);
        auto const by_rank = simulate(jobs, cores, by_value(cores));
        int large_in_time = 0;
        for (std::size_t i = 0; i < jobs.size(); i += 10)
        {
            large_in_time +=
                by_rank.ended_s[i] - jobs[i].submitted_s <= jobs[i].objective_s
                    ? 1
                    : 0;
        }
        // 20 of 200 jobs are large: half the rate of the class.
        CPPUNIT_ASSERT(large_in_time * 2 * 10 >= by_rank.in_time);
    }

    // Guards against work of a worse priority that takes a better one's
    // capacity.
    void better_priority_comes_first()
    {
        std::vector<job_account> accounts;
        for (std::size_t i = 0; i < 6; ++i)
        {
            accounts.push_back(account_of(i, {0, 20, 7}));
            accounts.back().priority = i % 2 == 0 ? 1 : 0;
        }
        auto const ranks =
            rank_jobs(accounts, {{{}, cores}}, at_s(0), value_terms{});
        for (auto const& each : accounts)
        {
            auto const& rank = ranks.at(each.job);
            CPPUNIT_ASSERT_EQUAL(each.priority == 0, rank.position <= 3);
            CPPUNIT_ASSERT_EQUAL(each.priority == 0 ? prospect::in_time
                                                    : prospect::late,
                                 rank.expected);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_ranking_test);

} // namespace turmericswitch::overload
