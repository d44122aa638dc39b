#include "workflow/dispatch/candidate_pool.hpp"
#include "workflow/dispatch/dispatcher.hpp"
#include "workflow_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::workflow
{

using namespace testing;

namespace
{

constexpr std::size_t fleet_size = 660;

std::string worker_name(std::size_t number)
{
    return "w" + std::to_string(number);
}

std::string job_name(std::size_t number)
{
    return "j" + std::to_string(number);
}

} // namespace

/// Load: hundreds of workers that each run a task and report every second.
///
/// The cost of one report, commit or submission must not grow with the number
/// of workers and jobs that it does not name. When it did, the leader's
/// processor time was used up at 240 workers, and elections, configuration and
/// answers to callers waited for seconds.
class change_tracking_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(change_tracking_test);
    CPPUNIT_TEST(report_makes_orders_due_for_its_worker_only);
    CPPUNIT_TEST(commit_makes_orders_due_for_the_workers_it_names);
    CPPUNIT_TEST(end_of_a_workflow_makes_orders_due_where_it_runs);
    CPPUNIT_TEST(unanswered_orders_become_due_again);
    CPPUNIT_TEST(commit_examines_the_workflows_it_names);
    CPPUNIT_TEST(report_computes_the_capacity_of_its_worker_only);
    CPPUNIT_TEST(checkpoints_of_a_run_are_committed_at_intervals);
    CPPUNIT_TEST(ends_of_a_rejected_command_are_collected_again);
    CPPUNIT_TEST(reader_that_fell_behind_derives_everything);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_table = {};
        m_now = at_ms(1'000'000);
        m_dispatcher = std::make_unique<dispatcher>(
            m_table,
            dispatch_options{
                {std::chrono::seconds(6), std::chrono::seconds(6)}},
            core::term(7),
            m_now,
            [](core::event const&) {});
        core::workflow_progress placements;
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            m_table.submit(submission(job_name(i), {stage(1)}), queue(), m_now);
            placements.placements.push_back(
                placed(run_of(job_name(i), 0, 0), worker_name(i)));
        }
        m_table.progress(placements, m_now);
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            report(i, true);
        }
        CPPUNIT_ASSERT_EQUAL(fleet_size, due().size());
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            orders(i);
        }
    }

    void report_makes_orders_due_for_its_worker_only()
    {
        report(17, true);
        CPPUNIT_ASSERT(due() == workers({17}));
    }

    void commit_makes_orders_due_for_the_workers_it_names()
    {
        m_table.submit(submission("new", {stage(2)}), queue(), m_now);
        CPPUNIT_ASSERT(due().empty());
        core::workflow_progress command;
        command.placements = {placed(run_of("new", 0, 0), worker_name(3)),
                              placed(run_of("new", 0, 1), worker_name(4))};
        m_table.progress(command, m_now);
        CPPUNIT_ASSERT(due() == workers({3, 4}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders(3).starts.size());
    }

    void end_of_a_workflow_makes_orders_due_where_it_runs()
    {
        m_table.cancel(
            {core::queue_id("proofs"), core::workflow_id(job_name(9)), {}, {}},
            m_now);
        CPPUNIT_ASSERT(due() == workers({9}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders(9).stops.size());
    }

    // A stop whose answer is lost must be sent again without any event.
    void unanswered_orders_become_due_again()
    {
        m_table.cancel(
            {core::queue_id("proofs"), core::workflow_id(job_name(9)), {}, {}},
            m_now);
        due();
        orders(9);
        m_now += std::chrono::milliseconds(1400);
        CPPUNIT_ASSERT(due().empty());
        m_now += std::chrono::milliseconds(100);
        CPPUNIT_ASSERT(due() == workers({9}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders(9).stops.size());
    }

    void commit_examines_the_workflows_it_names()
    {
        run_time_model const run_times;
        worker_fleet const fleet({}, {}, m_now);
        stage_backlog backlog(m_table, run_times, fleet);
        plan_times const times{m_now, m_now, {}};
        CPPUNIT_ASSERT(backlog.collect(times).empty());
        auto const before = backlog.examined_workflows();
        m_table.submit(submission("new", {stage(2)}), queue(), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, backlog.collect(times).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, backlog.collect(times).size());
        CPPUNIT_ASSERT_EQUAL(before + 1, backlog.examined_workflows());
    }

    void report_computes_the_capacity_of_its_worker_only()
    {
        worker_fleet fleet({}, {}, m_now);
        colocation_controller const colocation(std::chrono::seconds(4));
        candidate_pool pool(m_table, fleet, colocation);
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            fleet.report(m_now, report_of(i, {}));
        }
        auto const all = [](worker_view const&) { return true; };
        CPPUNIT_ASSERT_EQUAL(fleet_size, pool.collect(m_now, all).size());
        auto const before = pool.computed_workers();
        fleet.report(m_now, report_of(17, {}));
        pool.mark_changed(core::worker_id(worker_name(17)));
        auto const candidates = pool.collect(m_now, all);
        CPPUNIT_ASSERT_EQUAL(fleet_size, candidates.size());
        CPPUNIT_ASSERT_EQUAL(before + 1, pool.computed_workers());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7000},
                             candidates.front()->free.cpu.value());
    }

    // Tasks save twice a second. Each commit is synced on all members, so not
    // every checkpoint is worth one.
    void checkpoints_of_a_run_are_committed_at_intervals()
    {
        std::size_t committed = 0;
        for (int i = 0; i < 40; ++i)
        {
            m_now += std::chrono::milliseconds(100);
            report(5, true, "saved-" + std::to_string(i / 5));
            auto const command = plan();
            if (command && !command->checkpoints.empty())
            {
                commit(*command);
                ++committed;
            }
        }
        CPPUNIT_ASSERT(committed >= 3 && committed <= 4);
        auto const* const task =
            m_table.find_task(run_of(job_name(5), 0, 0).task);
        CPPUNIT_ASSERT(task->checkpoint.value() >= "saved-6");
    }

    // A proposal may be refused although the leader stays. The worker goes on
    // listing the end, but it must not take another report to commit it.
    void ends_of_a_rejected_command_are_collected_again()
    {
        core::worker_runs runs;
        runs.ended = {{1, run_of(job_name(5), 0, 0), core::run_end::done, {}}};
        m_dispatcher->report(m_now, report_of(5, runs));
        auto const first = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first->ends.size());
        CPPUNIT_ASSERT(!plan());
        m_dispatcher->rejected(*first);
        CPPUNIT_ASSERT(plan()->ends == first->ends);
    }

    void reader_that_fell_behind_derives_everything()
    {
        change_log<core::worker_id> log;
        auto reader = change_log<core::worker_id>::unread;
        CPPUNIT_ASSERT(!log.read(reader));
        log.add(core::worker_id("a"));
        log.add(core::worker_id("b"));
        auto const changed = log.read(reader);
        CPPUNIT_ASSERT(changed->contains(core::worker_id("a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changed->size());
        CPPUNIT_ASSERT(log.read(reader)->empty());
        for (int i = 0; i < 100'000; ++i)
        {
            log.add(core::worker_id("c"));
        }
        CPPUNIT_ASSERT(!log.read(reader));
        log.add_everything();
        CPPUNIT_ASSERT(!log.read(reader));
        CPPUNIT_ASSERT(log.read(reader)->empty());
    }

private:
    static std::set<core::worker_id>
    workers(std::initializer_list<std::size_t> numbers)
    {
        std::set<core::worker_id> result;
        for (auto const number : numbers)
        {
            result.insert(core::worker_id(worker_name(number)));
        }
        return result;
    }

    static core::runtime_report report_of(std::size_t worker,
                                          core::worker_runs runs)
    {
        core::runtime_report result;
        result.host = core::instance_id("host-" + worker_name(worker));
        result.profile = profile(worker_name(worker));
        result.clock = std::chrono::seconds(50);
        result.runs = std::move(runs);
        // An earlier leader has placed the runs.
        result.unresolved.is_complete = true;
        return result;
    }

    void report(std::size_t worker,
                bool is_running,
                std::string const& checkpoint = "")
    {
        core::worker_runs runs;
        if (is_running)
        {
            runs.running = {{run_of(job_name(worker), 0, 0),
                             core::checkpoint_id(checkpoint),
                             0,
                             0}};
        }
        m_dispatcher->report(m_now, report_of(worker, std::move(runs)));
        m_dispatcher->grant(core::worker_id(worker_name(worker)),
                            core::incarnation(1));
    }

    std::set<core::worker_id> due()
    {
        return m_dispatcher->workers_with_orders(m_now);
    }

    core::runtime_orders orders(std::size_t worker)
    {
        return m_dispatcher->take_orders(m_now,
                                         core::worker_id(worker_name(worker)),
                                         core::incarnation(1),
                                         m_config);
    }

    std::optional<core::workflow_progress> plan()
    {
        return m_dispatcher->plan({m_now, m_now, {}}, m_config);
    }

    void commit(core::workflow_progress const& command)
    {
        m_table.progress(command, m_now);
        m_dispatcher->applied(m_now, command);
    }

    workflow_table m_table;
    core::configuration m_config;
    core::time_point m_now;
    std::unique_ptr<dispatcher> m_dispatcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(change_tracking_test);

} // namespace turmericswitch::workflow
