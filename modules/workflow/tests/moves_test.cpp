#include "dispatcher_fixture.hpp"
#include "planning_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace turmericswitch::workflow
{

using namespace testing;

/// Moves that make room for a waiting task. Three workers of 8 cores run two
/// long-running tasks of 2.5 cores each.
class moves_test : public dispatcher_fixture
{
    CPPUNIT_TEST_SUITE(moves_test);
    CPPUNIT_TEST(wide_request_behind_long_running_tasks);
    CPPUNIT_TEST(move_interrupted_by_a_leader_change);
    CPPUNIT_TEST(move_whose_cause_is_cancelled);
    CPPUNIT_TEST(drain_of_the_target_during_a_burst);
    CPPUNIT_TEST(stage_that_may_miss_no_task);
    CPPUNIT_TEST(no_room_elsewhere);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_placement.moves = true;
        dispatcher_fixture::setUp();
        m_hosts.clear();
        m_most_away = 0;
        m_drains.clear();
        m_events.clear();
    }

    // Without moves such a job waits for ever, although the fleet has room.
    void wide_request_behind_long_running_tasks()
    {
        submit_narrow(1);
        submit_wide(8000);
        run(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, moves());
        run(25);
        CPPUNIT_ASSERT(is_placed("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, moves());
        // `max_unavailable` holds all the time.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_most_away);
    }

    // A new leader that began again on another worker would interrupt more
    // tasks than needed.
    void move_interrupted_by_a_leader_change()
    {
        submit_narrow(1);
        submit_wide(8000);
        run_until_move();
        elect({std::chrono::seconds(6), std::chrono::seconds(6)});
        run(30);
        CPPUNIT_ASSERT(is_placed("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, moves());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_most_away);
    }

    void move_whose_cause_is_cancelled()
    {
        submit_narrow(1);
        submit_wide(8000);
        run_until_move();
        m_table.cancel(
            {core::queue_id("proofs"), core::workflow_id("b"), {}, {}}, m_now);
        run(20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moves());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, away());
    }

    // The kept worker leaves while short tasks fill all others: nothing more
    // may be moved off it, and the moved task runs again.
    void drain_of_the_target_during_a_burst()
    {
        submit_narrow(1);
        submit_wide(8000);
        run_until_move();
        m_table.submit(submission("c", {stage(40, 500)}), queue(), m_now);
        auto const& target = std::get<std::string>(
            last_event(core::event_code::run_moved).fields.at(2).value);
        m_drains.insert(target);
        run(20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moves());
        CPPUNIT_ASSERT(!is_placed("b"));
    }

    void stage_that_may_miss_no_task()
    {
        submit_narrow(0);
        submit_wide(8000);
        run(30);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, moves());
    }

    // Stopping a task that no other worker can take frees nothing.
    void no_room_elsewhere()
    {
        submit_narrow(1);
        auto filler = stage(3, 2500);
        filler.behaviour.long_running = true;
        m_table.submit(submission("f", {filler}), queue(), m_now);
        run(2);
        submit_wide(8000);
        run(30);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, moves());
    }

private:
    struct host
    {
        std::vector<core::ended_run> ended;
        std::set<core::task_run> stopped;
    };

    void submit_narrow(std::uint32_t max_unavailable)
    {
        auto narrow = stage(6, 2500);
        narrow.behaviour.long_running = true;
        narrow.behaviour.max_unavailable = max_unavailable;
        m_table.submit(submission("a", {narrow}), queue(), m_now);
        run(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, away());
    }

    void submit_wide(std::int64_t millicores)
    {
        auto wide = stage(1, millicores);
        wide.behaviour.long_running = true;
        m_table.submit(submission("b", {wide}), queue(), m_now);
    }

    std::size_t away() const
    {
        std::size_t count = 0;
        for (std::uint32_t i = 0; i < 6; ++i)
        {
            auto const* const task =
                m_table.find_task({core::workflow_id("a"), 0, 0, i});
            count += task == nullptr || !task->placed ? 1 : 0;
        }
        return count;
    }

    bool is_placed(std::string const& workflow) const
    {
        auto const* const task =
            m_table.find_task({core::workflow_id(workflow), 0, 0, 0});
        return task != nullptr && task->placed;
    }

    std::size_t moves() const
    {
        return static_cast<std::size_t>(std::count_if(
            m_events.begin(),
            m_events.end(),
            [](core::event const& each)
            { return each.code == core::event_code::run_moved; }));
    }

    void run_until_move()
    {
        for (int i = 0; i < 60 && moves() == 0; ++i)
        {
            run(0.5);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moves());
    }

    /// Lets the workers report what they run and execute their orders, every
    /// 500 ms.
    void run(double seconds)
    {
        auto const end =
            m_now + std::chrono::milliseconds(static_cast<int>(seconds * 1000));
        while (m_now < end)
        {
            m_now += std::chrono::milliseconds(500);
            for (auto const* const name : {"w1", "w2", "w3"})
            {
                report_host(name);
            }
            if (auto const command = plan())
            {
                m_table.progress(*command, m_now);
                m_dispatcher->applied(m_now, *command);
            }
            for (auto const* const name : {"w1", "w2", "w3"})
            {
                stop_ordered(name);
            }
            if (is_settled())
            {
                m_most_away = std::max(m_most_away, away());
            }
        }
    }

    /// @return True once all tasks of job `a` have been placed.
    bool is_settled()
    {
        m_is_settled = m_is_settled || away() == 0;
        return m_is_settled;
    }

    void report_host(std::string const& name)
    {
        auto& state = m_hosts[name];
        core::worker_id const id(name);
        std::vector<core::task_run> runs;
        for (auto const& held : m_table.held_on(id))
        {
            if (!state.stopped.contains(held.run))
            {
                runs.push_back(held.run);
            }
        }
        auto listed = running(runs);
        listed.ended = state.ended;
        auto reported = profile(name);
        reported.draining = m_drains.contains(name);
        report(listed,
               reported,
               std::chrono::duration_cast<std::chrono::milliseconds>(
                   m_now.time_since_epoch())
                   .count());
        m_dispatcher->grant(id, core::incarnation(1));
    }

    void stop_ordered(std::string const& name)
    {
        auto& state = m_hosts[name];
        auto const orders = m_dispatcher->take_orders(
            m_now, core::worker_id(name), core::incarnation(1), m_config);
        for (auto const& run : orders.stops)
        {
            if (state.stopped.insert(run).second)
            {
                state.ended.push_back({state.ended.size() + 1,
                                       run,
                                       core::run_end::stopped,
                                       core::checkpoint_id()});
            }
        }
    }

    std::map<std::string, host> m_hosts;
    std::set<std::string> m_drains;
    std::size_t m_most_away = 0;
    bool m_is_settled = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(moves_test);

} // namespace turmericswitch::workflow
