#include "dispatcher_fixture.hpp"
#include "planning_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <limits>
#include <map>
#include <numeric>

namespace turmericswitch::workflow
{

using namespace testing;

namespace
{

core::stage_description one_image(std::uint32_t tasks)
{
    auto result = stage(tasks, 4000);
    result.behaviour.image = "red";
    return result;
}

/// Expected run times by worker, in units of the average.
using time_factors = std::vector<double>;

std::string worker_name(std::size_t index)
{
    return "w" + std::to_string(100 + index);
}

/// @return The shortest time in which workers that run one task at a time can
///         end the equal tasks of a stage.
double best_time(time_factors const& factors, std::uint32_t tasks)
{
    auto best = std::numeric_limits<double>::max();
    for (auto const factor : factors)
    {
        for (std::uint32_t i = 1; i <= tasks; ++i)
        {
            auto const time = factor * i;
            std::uint32_t ended = 0;
            for (auto const each : factors)
            {
                ended += static_cast<std::uint32_t>(time / each + 1e-9);
            }
            best = ended >= tasks ? std::min(best, time) : best;
        }
    }
    return best;
}

/// Runs a stage on workers that take one task at a time.
///
/// @return When the last task ends.
double
planned_time(time_factors const& factors, std::uint32_t tasks, bool uses_speed)
{
    auto const description = one_image(tasks);
    std::map<std::string, std::pair<double, double>> running;
    double now = 0;
    placement_policy policy;
    if (uses_speed)
    {
        policy.speed = [&](core::worker_id const& worker, std::string const&)
        {
            auto const index = std::stoul(worker.value().substr(1)) - 100;
            return worker_speed{std::log(factors[index]), 0.01};
        };
        policy.running = [&](stage_ref const&)
        {
            std::vector<running_task_time> result;
            result.reserve(running.size());
            for (auto const& [name, times] : running)
            {
                result.push_back({core::worker_id(name), now - times.first});
            }
            return result;
        };
    }
    auto waiting = pending("a", description, tasks);
    while (true)
    {
        std::vector<candidate_worker> free;
        for (std::size_t i = 0; i < factors.size(); ++i)
        {
            if (!running.contains(worker_name(i)))
            {
                free.push_back(candidate(worker_name(i), 4000));
            }
        }
        for (auto const& each :
             plan_stages({waiting}, free, 200, no_tail, policy))
        {
            auto const index = std::stoul(each.worker.value().substr(1)) - 100;
            running[each.worker.value()] = {now, now + factors[index]};
            waiting.runs.erase(each.run);
        }
        if (running.empty())
        {
            CPPUNIT_ASSERT(waiting.runs.empty());
            return now;
        }
        now = std::min_element(running.begin(),
                               running.end(),
                               [](auto const& a, auto const& b)
                               { return a.second.second < b.second.second; })
                  ->second.second;
        std::erase_if(running,
                      [now](auto const& each)
                      { return each.second.second <= now; });
    }
}

} // namespace

/// The learned speed of workers and its use.
class speed_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(speed_test);
    CPPUNIT_TEST(worker_that_is_slow_without_failing);
    CPPUNIT_TEST(few_runs_with_noisy_times);
    CPPUNIT_TEST(best_effort_tasks_that_were_slowed_or_short_of_cpu);
    CPPUNIT_TEST(slow_worker_that_is_avoided_is_tried_again);
    CPPUNIT_TEST(stage_of_80_on_heterogeneous_workers);
    CPPUNIT_TEST(small_stages_on_heterogeneous_workers);
    CPPUNIT_TEST(sibling_that_hangs_on_a_fast_worker);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_speeds = {};
        m_attempt = 0;
    }

    // A worker on which everything takes twice the time fails nothing, so its
    // health stays good.
    void worker_that_is_slow_without_failing()
    {
        record_peers(60);
        record("slow", 2000, 5);
        CPPUNIT_ASSERT(speed("slow").is_slow());
        CPPUNIT_ASSERT(speed("slow").time_factor() > 1.7);
        CPPUNIT_ASSERT(!speed("w1").is_slow());
        CPPUNIT_ASSERT(speed("slow", "blue").is_slow());
        placement_policy policy;
        policy.speed =
            [this](core::worker_id const& worker, std::string const& image)
        { return m_speeds.speed(at_ms(0), worker, image); };
        std::vector workers{candidate("slow", 64000), candidate("w1", 8000)};
        auto const description = one_image(3);
        auto const placed = plan_stages(
            {pending("a", description, 3)}, workers, 200, no_tail, policy);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_on(placed, "w1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_on(placed, "slow"));
    }

    // A worker must not be avoided for one long run of a kind whose run times
    // differ by nature.
    void few_runs_with_noisy_times()
    {
        for (int i = 0; i < 40; ++i)
        {
            record("w" + std::to_string(i % 4), i % 2 == 0 ? 400 : 1600, 1);
        }
        record("new", 1800, 1);
        CPPUNIT_ASSERT(!speed("new").is_slow());
        CPPUNIT_ASSERT(speed("new").error > 0.1);
    }

    // The run time of such a task follows from its neighbours and its pace.
    void best_effort_tasks_that_were_slowed_or_short_of_cpu()
    {
        auto best_effort = one_image(1);
        best_effort.behaviour.uses_spare_cpu = true;
        record_peers(60);
        auto const record_with = [&](std::vector<bool> const& reports)
        {
            auto const run = next_run();
            for (bool const has_full_speed : reports)
            {
                m_speeds.observe_best_effort(run, has_full_speed);
            }
            m_speeds.record_run(at_ms(0),
                                ended(run, core::run_end::done, "slow"),
                                best_effort,
                                std::chrono::seconds(2));
            m_speeds.ended(run);
        };
        for (int i = 0; i < 10; ++i)
        {
            record_with({});
            record_with({true, false, true});
        }
        CPPUNIT_ASSERT_EQUAL(0.0, speed("slow").log_time);
        for (int i = 0; i < 10; ++i)
        {
            record_with({true, true});
        }
        CPPUNIT_ASSERT(speed("slow").is_slow());
    }

    // An avoided worker gets no tasks that would show that it has recovered.
    void slow_worker_that_is_avoided_is_tried_again()
    {
        record_peers(60);
        record("slow", 2000, 5);
        auto const later = at_ms(0) + std::chrono::hours(2);
        CPPUNIT_ASSERT(
            !m_speeds.speed(later, core::worker_id("slow"), "red").is_slow());
    }

    // The last tasks of a stage on slow workers delay all of it.
    void stage_of_80_on_heterogeneous_workers()
    {
        time_factors factors(20, 1.0);
        for (std::size_t i = 0; i < factors.size(); i += 3)
        {
            factors[i] = 2.5;
        }
        CPPUNIT_ASSERT(planned_time(factors, 80, false) >
                       1.2 * best_time(factors, 80));
        CPPUNIT_ASSERT(planned_time(factors, 80, true) <=
                       1.1 * best_time(factors, 80));
    }

    void small_stages_on_heterogeneous_workers()
    {
        double sum_without = 0;
        double sum_with = 0;
        double sum_best = 0;
        for (double const b : {1.0, 1.5, 2.0, 3.0})
        {
            for (double const c : {1.0, 1.5, 2.5, 4.0})
            {
                for (std::uint32_t tasks = 1; tasks <= 8; ++tasks)
                {
                    time_factors const factors{c, b, 1.0};
                    auto const best = best_time(factors, tasks);
                    auto const with = planned_time(factors, tasks, true);
                    sum_best += best;
                    sum_with += with;
                    sum_without += planned_time(factors, tasks, false);
                }
            }
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sum_with / sum_best) + " and " +
                                   std::to_string(sum_without / sum_best),
                               sum_with <= 1.05 * sum_best);
        CPPUNIT_ASSERT(sum_without > 1.2 * sum_best);
    }

    // Waiting for its end would delay the last task for ever.
    void sibling_that_hangs_on_a_fast_worker()
    {
        placement_policy policy;
        policy.speed = [](core::worker_id const& worker, std::string const&) {
            return worker_speed{worker.value() == "slow" ? 1.5 : 0.0, 0.01};
        };
        double elapsed = 0.9;
        policy.running = [&elapsed](stage_ref const&) {
            return std::vector<running_task_time>{
                {core::worker_id("fast"), elapsed}};
        };
        auto const description = one_image(2);
        auto const count_placed = [&]
        {
            std::vector workers{candidate("slow", 8000)};
            return plan_stages({pending("a", description, 1)},
                               workers,
                               200,
                               no_tail,
                               policy)
                .size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_placed());
        elapsed = 2;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_placed());
    }

private:
    core::task_run next_run()
    {
        return run_of("a" + std::to_string(++m_attempt), 0, 0);
    }

    void record(std::string const& worker, std::int64_t ran_ms, int runs)
    {
        for (int i = 0; i < runs; ++i)
        {
            m_speeds.record_run(at_ms(0),
                                ended(next_run(), core::run_end::done, worker),
                                one_image(1),
                                std::chrono::milliseconds(ran_ms));
        }
    }

    /// Records runs of 900 to 1100 ms on 6 workers.
    void record_peers(int runs)
    {
        for (int i = 0; i < runs; ++i)
        {
            record("w" + std::to_string(i % 6), 900 + 100 * (i % 3), 1);
        }
    }

    worker_speed speed(std::string const& worker,
                       std::string const& image = "red") const
    {
        return m_speeds.speed(at_ms(0), core::worker_id(worker), image);
    }

    speed_model m_speeds;
    std::uint32_t m_attempt = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(speed_test);

} // namespace turmericswitch::workflow
