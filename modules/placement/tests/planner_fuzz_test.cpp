#include "placement/tests/fake_cluster.hpp"
#include "placement/tests/placement_oracle.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <stdexcept>

namespace turmericswitch::placement
{

namespace
{

using testing::amount;

constexpr std::uint64_t worker_names = 5;
char const* const zone_names[] = {"a", "b", "c"};
char const* const kind_names[] = {"web", "plan", "noise", "proof"};
char const* const team_names[] = {"red", "blue"};

/// Sends random events to a planner and to the oracle that checks it.
class fuzz_run
{
public:
    explicit fuzz_run(core::random_source random) : m_random(std::move(random))
    {
        for (std::uint64_t i = 0; i < 3; ++i)
        {
            put_worker(i, amount(8000, 8000, 1));
        }
    }

    void step(std::uint32_t choice)
    {
        switch (choice % 16)
        {
        case 0:
            return put_worker(below(worker_names), random_capacity());
        case 1:
            return lose_worker();
        case 2:
            return change_zone();
        case 3:
            return change_rules();
        case 4:
        case 5:
        case 6:
            return add_job();
        case 7:
            return finish(false);
        case 8:
            return finish(true);
        case 9:
            return requeue(true);
        case 10:
            return requeue(false);
        case 11:
        case 12:
            return report();
        default:
            return tick(choice % 7 == 0);
        }
    }

    /// Ends all faults and checks that every waiting job is placed within a
    /// bounded number of ticks.
    void settle()
    {
        for (auto const* zone : zone_names)
        {
            m_oracle.zones_out.erase(core::zone_id(zone));
            m_planner.zone_changed(
                m_now, core::zone_id(zone), core::zone_state::in_service);
        }
        for (auto& [name, worker] : m_oracle.workers)
        {
            worker.schedulable = true;
            m_planner.worker_changed(m_now, worker.description);
        }
        for (int i = 0; i < 400 && !m_oracle.waiting.empty(); ++i)
        {
            m_now += std::chrono::seconds(45);
            tick(false);
            auto const active = m_oracle.active;
            for (auto const& [job, task] : active)
            {
                end(job, !task.evicting);
            }
        }
        if (!m_oracle.waiting.empty())
        {
            throw std::logic_error("a feasible job was never placed");
        }
    }

private:
    std::uint64_t below(std::uint64_t limit)
    {
        return core::random_below(m_random, limit);
    }

    core::resources random_capacity()
    {
        return amount(static_cast<std::int64_t>(4000 + below(6) * 1000),
                      static_cast<std::int64_t>(4000 + below(6) * 1000),
                      static_cast<std::int64_t>(below(3)));
    }

    void put_worker(std::uint64_t number, core::resources const& capacity)
    {
        core::worker_description worker;
        worker.worker = core::worker_id("w" + std::to_string(number));
        worker.place.zone = core::zone_id(zone_names[number % 3]);
        worker.rack = core::rack_id("r" + std::to_string(number / 2));
        worker.capacity = capacity;
        m_oracle.workers[worker.worker] = {worker, true};
        m_planner.worker_changed(m_now, worker);
        if (!core::fits_in(m_planner.reserved_on(worker.worker), capacity))
        {
            m_shrunk.insert(worker.worker);
        }
    }

    void lose_worker()
    {
        core::worker_id const name("w" + std::to_string(below(worker_names)));
        auto const found = m_oracle.workers.find(name);
        if (found == m_oracle.workers.end())
        {
            return;
        }
        bool const empty = m_oracle.reserved_on(name) == core::resources{};
        if (empty && m_oracle.workers.size() > 1 && below(2) == 0)
        {
            m_planner.worker_retired(m_now, name);
            m_oracle.workers.erase(found);
            return;
        }
        found->second.schedulable = false;
        m_planner.worker_lost(m_now, name);
    }

    void change_zone()
    {
        core::zone_id const zone(zone_names[below(3)]);
        bool const out = m_oracle.zones_out.erase(zone) == 0;
        if (out)
        {
            m_oracle.zones_out.insert(zone);
        }
        m_planner.zone_changed(m_now,
                               zone,
                               out ? core::zone_state::out_of_service
                                   : core::zone_state::in_service);
    }

    void change_rules()
    {
        core::configuration config;
        if (below(2) == 0)
        {
            config.colocations.push_back({core::task_kind(kind_names[below(4)]),
                                          core::task_kind(kind_names[below(4)]),
                                          core::colocation::never_share});
        }
        if (below(2) == 0)
        {
            auto const limit = static_cast<std::uint32_t>(1 + below(3));
            config.kind_limits.push_back(
                {core::task_kind(kind_names[below(4)]), limit});
        }
        if (below(2) == 0)
        {
            config.quotas.push_back(
                {core::team_id(team_names[below(2)]), random_capacity()});
        }
        m_oracle.config = config;
        m_planner.configuration_changed(m_now, config);
    }

    void add_job()
    {
        queued_job job;
        job.job = core::job_id(++m_last_job);
        job.team = core::team_id(team_names[below(2)]);
        auto const kind = below(4);
        job.kind = core::task_kind(kind_names[kind]);
        job.priority = kind == 0   ? core::priority_class::service
                       : kind == 3 ? core::priority_class::urgent
                                   : core::priority_class::batch;
        job.declared = amount(static_cast<std::int64_t>(100 + below(9000)),
                              static_cast<std::int64_t>(100 + below(9000)),
                              static_cast<std::int64_t>(below(8) / 6));
        job.expected_run_time = std::chrono::seconds(below(1000));
        if (below(3) == 0)
        {
            job.deadline = core::wall_time(m_now.time_since_epoch()) +
                           std::chrono::seconds(below(2000));
        }
        m_oracle.jobs[job.job] = job;
        m_oracle.waiting[job.job] = job;
        m_planner.job_queued(m_now, job);
    }

    std::optional<core::job_id> some_active()
    {
        if (m_oracle.active.empty())
        {
            return std::nullopt;
        }
        auto item = m_oracle.active.begin();
        std::advance(item, below(m_oracle.active.size()));
        return item->first;
    }

    void end(core::job_id job, bool for_good)
    {
        auto const task = m_oracle.active.at(job);
        m_oracle.active.erase(job);
        if (for_good)
        {
            m_planner.job_ended(m_now, job, terminal_state::finished);
            return;
        }
        auto again = m_oracle.jobs.at(job);
        again.next_attempt = core::attempt_number(task.attempt.value() + 1);
        m_oracle.waiting[job] = again;
        m_planner.job_queued(m_now, again);
    }

    void finish(bool cancel)
    {
        if (cancel && !m_oracle.waiting.empty() && below(2) == 0)
        {
            auto const job = m_oracle.waiting.begin()->first;
            m_oracle.waiting.erase(job);
            m_planner.job_ended(m_now, job, terminal_state::cancelled);
        }
        else if (auto const job = some_active())
        {
            end(*job, true);
        }
    }

    void requeue(bool failed)
    {
        if (auto const job = some_active())
        {
            auto const attempt = m_oracle.active.at(*job).attempt;
            if (failed)
            {
                m_planner.attempt_failed(m_now, *job, attempt);
            }
            end(*job, false);
        }
    }

    /// Sends an implausible usage report: any amount, any age, sometimes a
    /// wrong attempt.
    void report()
    {
        if (auto const job = some_active())
        {
            auto const& task = m_oracle.active.at(*job);
            core::usage_sample sample;
            sample.job = *job;
            sample.attempt =
                below(8) == 0 ? core::attempt_number(99) : task.attempt;
            sample.age =
                std::chrono::seconds(static_cast<std::int64_t>(below(60)) - 5);
            sample.used = amount(static_cast<std::int64_t>(below(20000)) - 500,
                                 static_cast<std::int64_t>(below(20000)) - 500,
                                 static_cast<std::int64_t>(below(3)));
            sample.slowdown_permille = static_cast<std::uint32_t>(below(5000));
            m_planner.usage_reported(m_now, task.worker, sample);
        }
    }

    void tick(bool drops)
    {
        m_now += std::chrono::milliseconds(100 + below(40000));
        core::wall_time const wall(m_now.time_since_epoch());
        auto const before = m_oracle.waiting;
        auto const decisions = m_planner.tick(m_now, wall);
        m_oracle.check(decisions);
        for (auto const& [name, worker] : m_oracle.workers)
        {
            if (!core::fits_in(m_oracle.reserved_on(name),
                               m_planner.reserved_on(name)))
            {
                throw std::logic_error("the planner lost a reservation");
            }
            bool const fits = core::fits_in(m_planner.reserved_on(name),
                                            worker.description.capacity);
            if (fits)
            {
                m_shrunk.erase(name);
            }
            else if (!m_shrunk.contains(name))
            {
                throw std::logic_error("reservation raised above the capacity");
            }
        }
        for (auto const& command : decisions.batch.placements)
        {
            place(command, drops && below(2) == 0);
        }
        for (auto const& command : decisions.batch.evictions)
        {
            if (drops && below(2) == 0)
            {
                m_oracle.active.at(command.job).evicting = false;
                m_planner.eviction_dropped(command.job, command.attempt);
            }
        }
        for (auto const& command : decisions.batch.stops)
        {
            if (drops && below(2) == 0)
            {
                m_oracle.waiting[command.job] = before.at(command.job);
                m_planner.stop_dropped(command.job);
            }
            else
            {
                m_planner.job_ended(
                    m_now, command.job, terminal_state::stopped);
            }
        }
    }

    void place(core::place_task const& command, bool dropped)
    {
        if (!dropped)
        {
            m_planner.job_started(m_now, command.job, command.attempt);
            return;
        }
        m_oracle.active.erase(command.job);
        auto again = m_oracle.jobs.at(command.job);
        again.next_attempt = command.attempt;
        m_oracle.waiting[command.job] = again;
        m_planner.placement_dropped(m_now, command.job, command.attempt);
    }

    core::random_source m_random;
    planner m_planner;
    testing::placement_oracle m_oracle;
    core::time_point m_now{std::chrono::hours(24)};
    std::uint64_t m_last_job = 0;
    /// Workers whose capacity was lowered below their reservations.
    std::set<core::worker_id> m_shrunk;
};

} // namespace

class planner_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planner_fuzz_test);
    CPPUNIT_TEST(random_events_never_break_a_rule);
    CPPUNIT_TEST_SUITE_END();

    // Guards against exceeded capacity and quotas, violated sharing rules,
    // placements in zones out of service, double placement, wrong refusals, and
    // jobs that are never placed.
    void random_events_never_break_a_rule()
    {
        turmericswitch::testing::check_property(
            "random_events_never_break_a_rule",
            {.seed = 7, .max_success = 300, .max_size = 400},
            []
            {
                auto const seed = *rc::gen::arbitrary<std::uint64_t>();
                auto const steps = *rc::gen::scale(
                    3.0, rc::gen::arbitrary<std::vector<std::uint32_t>>());
                fuzz_run run(core::seeded_random(seed));
                for (auto const choice : steps)
                {
                    run.step(choice);
                }
                run.settle();
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planner_fuzz_test);

} // namespace turmericswitch::placement
