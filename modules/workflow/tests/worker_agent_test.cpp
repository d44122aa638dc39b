#include "workflow/agent/worker_agent.hpp"
#include "workflow_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace turmericswitch::workflow
{

using namespace testing;

/// Every call of the agent waits in a list until the test answers it.
class worker_agent_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_agent_test);
    CPPUNIT_TEST(learns_the_fencing_token_before_it_looks);
    CPPUNIT_TEST(silent_worker_gets_no_longer_lease);
    CPPUNIT_TEST(refused_start_is_reported_at_once);
    CPPUNIT_TEST(unanswered_start_needs_a_tombstone);
    CPPUNIT_TEST(stopped_run_that_is_still_listed_is_not_refused);
    CPPUNIT_TEST(orders_of_a_deposed_leader_are_dropped);
    CPPUNIT_TEST(earlier_life_is_ignored);
    CPPUNIT_TEST(refusals_during_a_report_do_not_put_off_the_next_look);
    CPPUNIT_TEST(report_after_an_outage_has_a_fresh_clock);
    CPPUNIT_TEST(first_look_of_a_life_is_answered_at_once);
    CPPUNIT_TEST(lost_leader_brings_the_next_report_forward);
    CPPUNIT_TEST(leaving_during_a_report_is_reported_after_it);
    CPPUNIT_TEST(lost_and_regained_leader_are_each_logged_once);
    CPPUNIT_TEST(start_is_logged_with_its_task);
    CPPUNIT_TEST(ends_are_acknowledged_only_as_far_as_granted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_starts.clear();
        m_stops.clear();
        m_holds.clear();
        m_reports.clear();
        m_polls.clear();
        m_events.clear();
        agent_hooks hooks;
        hooks.on_event = [this](core::event const& what)
        { m_events.push_back(what); };
        hooks.after = [this](core::duration, std::function<void()> run)
        { m_later.push_back(std::move(run)); };
        hooks.runtime.start = [this](auto call, auto done) {
            m_starts.push_back({call, done});
        };
        hooks.runtime.stop = [this](auto call, auto done) {
            m_stops.push_back({call, done});
        };
        hooks.runtime.pace = [](auto, auto done) { done(true); };
        hooks.runtime.sync = [this](auto call, auto done) {
            m_holds.push_back({call, done});
        };
        hooks.leader.report = [this](auto report, auto done) {
            m_reports.push_back({report, done});
        };
        hooks.leader.poll_orders = [this](auto request, auto done) {
            m_polls.push_back({request, done});
        };
        m_agent = std::make_unique<worker_agent>(
            agent_options{core::instance_id("host"), core::incarnation(7)},
            std::move(hooks));
    }

    // A worker does nothing for a token below the highest that it knows, and
    // a restarted sidecar knows none.
    void learns_the_fencing_token_before_it_looks()
    {
        m_agent->registered(profile("w1"));
        CPPUNIT_ASSERT(m_holds.empty());
        CPPUNIT_ASSERT(!m_reports.front().call.runs);
        grant(5);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                             m_holds.front().call.fencing_token);
    }

    // A report would make the leader count on a lease that was not given.
    void silent_worker_gets_no_longer_lease()
    {
        start_up();
        answer(m_holds, std::optional<sync_result>());
        CPPUNIT_ASSERT(m_reports.empty());
        run_later();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_holds.size());
    }

    void refused_start_is_reported_at_once()
    {
        start_up();
        order_start();
        answer(m_starts, start_outcome::refused);
        CPPUNIT_ASSERT(m_stops.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last_report().refused.size());
    }

    // Guards "not run": the worker may carry out an unanswered call later.
    void unanswered_start_needs_a_tombstone()
    {
        start_up();
        order_start();
        answer(m_starts, start_outcome::unknown);
        answer(m_starts, start_outcome::refused);
        CPPUNIT_ASSERT(m_reports.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_stops.size());
        answer(m_stops, true);
        // The look under way began before the stop and tells nothing.
        answer(m_holds, std::optional(sync_result{}));
        CPPUNIT_ASSERT(last_report().refused.empty());
        grant(1);
        answer(m_holds, std::optional(sync_result{}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last_report().refused.size());
    }

    // Seen after a cut: the worker refused starts because its lease was over,
    // each refusal brought the next report at once, without a look between, so
    // the worker's clock in the reports stood still and no lease was renewed.
    void refusals_during_a_report_do_not_put_off_the_next_look()
    {
        start_up();
        answer(m_holds, std::optional(sync_result{}));
        order_start();
        answer(m_starts, start_outcome::refused);
        grant(1);
        CPPUNIT_ASSERT(m_reports.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_holds.size());
        CPPUNIT_ASSERT(m_holds.front().call.wait == core::duration{});
        sync_result fresh;
        fresh.clock = std::chrono::seconds(9);
        answer(m_holds, std::optional(fresh));
        CPPUNIT_ASSERT(last_report().clock == fresh.clock);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, last_report().refused.size());
    }

    // A report that is repeated after an outage must not bring a clock from
    // before it.
    void report_after_an_outage_has_a_fresh_clock()
    {
        start_up();
        answer(m_holds, std::optional(sync_result{}));
        answer(m_reports, std::optional<core::runtime_grant>());
        run_later();
        CPPUNIT_ASSERT(m_reports.empty());
        sync_result fresh;
        fresh.clock = std::chrono::seconds(9);
        answer(m_holds, std::optional(fresh));
        CPPUNIT_ASSERT(last_report().clock == fresh.clock);
    }

    // Guards the time after a start or a new life: the leader places nothing
    // on a worker before its lists came, so the first look must not wait.
    void first_look_of_a_life_is_answered_at_once()
    {
        start_up();
        CPPUNIT_ASSERT(m_holds.front().call.wait == core::duration{});
        answer(m_holds, std::optional(sync_result{}));
        grant(1);
        CPPUNIT_ASSERT(m_holds.front().call.wait > core::duration{});
    }

    // Guards the time after a change of leader: the new one knows no worker
    // before its report, and the next look may be a second away.
    void lost_leader_brings_the_next_report_forward()
    {
        start_up();
        answer(m_holds, std::optional(sync_result{}));
        grant(1);
        answer(m_polls, std::optional<core::runtime_orders>());
        run_later();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_reports.size());
    }

    // A worker that leaves while a report is on its way: without a further
    // report the leader waits for the end of the lease before it starts the
    // worker's tasks elsewhere.
    void leaving_during_a_report_is_reported_after_it()
    {
        start_up();
        answer(m_holds, std::optional(sync_result{}));
        m_agent->unregistered(core::worker_id("w1"));
        grant(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_reports.size());
        CPPUNIT_ASSERT(last_report().left);
        grant(1);
        CPPUNIT_ASSERT(m_reports.empty());
    }

    // Guards the log against a line for each failed report of an outage.
    void lost_and_regained_leader_are_each_logged_once()
    {
        start_up();
        m_events.clear();
        answer(m_holds, std::optional(sync_result{}));
        for (int i = 0; i < 3; ++i)
        {
            answer(m_reports, std::optional<core::runtime_grant>());
            run_later();
            answer(m_holds, std::optional(sync_result{}));
        }
        grant(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_events.size());
        CPPUNIT_ASSERT(m_events[0].code == core::event_code::control_lost);
        CPPUNIT_ASSERT(m_events[1].code == core::event_code::control_regained);
    }

    // Guards the way from a task's id to what its worker answered.
    void start_is_logged_with_its_task()
    {
        start_up();
        order_start();
        m_events.clear();
        answer(m_starts, start_outcome::unknown);
        answer(m_starts, start_outcome::started);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_events.size());
        CPPUNIT_ASSERT(m_events[0].code == core::event_code::start_unanswered);
        CPPUNIT_ASSERT(m_events[1].code == core::event_code::run_started);
        for (auto const& each : m_events)
        {
            CPPUNIT_ASSERT(each.fields[0].name == "task");
            CPPUNIT_ASSERT(each.fields[2] == core::text_field("worker", "w1"));
        }
    }

    void stopped_run_that_is_still_listed_is_not_refused()
    {
        start_up();
        core::runtime_orders orders;
        orders.fencing_token = 1;
        orders.stops = {m_run};
        answer(m_polls, std::optional(orders));
        answer(m_stops, true);
        answer(m_holds, std::optional(sync_result{}));
        grant(1);
        sync_result lists;
        core::running_task row;
        row.run = m_run;
        lists.runs.running = {row};
        answer(m_holds, std::optional(lists));
        CPPUNIT_ASSERT(last_report().refused.empty());
        grant(1);
        lists = {};
        lists.runs.ended = {{1, m_run, core::run_end::stopped, {}}};
        answer(m_holds, std::optional(lists));
        CPPUNIT_ASSERT(last_report().refused.empty());
    }

    void orders_of_a_deposed_leader_are_dropped()
    {
        start_up(9);
        core::runtime_orders orders;
        orders.fencing_token = 8;
        orders.stops = {m_run};
        answer(m_polls, std::optional(orders));
        CPPUNIT_ASSERT(m_stops.empty());
    }

    // A ping that was held up may come after its sender has crashed.
    void earlier_life_is_ignored()
    {
        m_agent->registered(profile("w1", 8000, 2));
        CPPUNIT_ASSERT(!m_agent->registered(profile("w1", 8000, 1)));
        CPPUNIT_ASSERT(m_agent->profile()->life == core::incarnation(2));
    }

    void ends_are_acknowledged_only_as_far_as_granted()
    {
        start_up();
        sync_result lists;
        lists.runs.ended = {{1, m_run, core::run_end::done, {}},
                            {2, run_of("b", 0, 0), core::run_end::done, {}}};
        answer(m_holds, std::optional(lists));
        core::runtime_grant partial;
        partial.fencing_token = 1;
        partial.acknowledged_ends = 1;
        answer(m_reports, std::optional(partial));
        run_later();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             m_holds.front().call.acknowledged_ends);
    }

private:
    template <typename Call, typename Result>
    struct waiting
    {
        Call call;
        std::function<void(Result)> done;
    };

    template <typename Call, typename Result>
    using waiting_list = std::deque<waiting<Call, Result>>;

    template <typename List, typename Result>
    static void answer(List& list, Result result)
    {
        CPPUNIT_ASSERT(!list.empty());
        auto const one = std::move(list.front());
        list.pop_front();
        one.done(std::move(result));
    }

    void grant(std::uint64_t token)
    {
        core::runtime_grant made;
        made.fencing_token = token;
        made.lease_until = std::chrono::seconds(5);
        answer(m_reports, std::optional(made));
    }

    void start_up(std::uint64_t token = 1)
    {
        m_agent->registered(profile("w1"));
        grant(token);
    }

    void order_start()
    {
        core::runtime_orders orders;
        orders.fencing_token = 1;
        orders.batch = 1;
        orders.starts = {{m_run.task.workflow, "payload", {{m_run, {}, {}}}}};
        answer(m_polls, std::optional(orders));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             m_polls.front().call.received_batch);
    }

    core::runtime_report const& last_report() const
    {
        CPPUNIT_ASSERT(!m_reports.empty());
        return m_reports.back().call;
    }

    void run_later()
    {
        for (auto const& each : std::exchange(m_later, {}))
        {
            each();
        }
    }

    core::task_run m_run = run_of("a", 0, 0);
    waiting_list<start_call, start_outcome> m_starts;
    waiting_list<stop_call, bool> m_stops;
    waiting_list<sync_call, std::optional<sync_result>> m_holds;
    waiting_list<core::runtime_report, std::optional<core::runtime_grant>>
        m_reports;
    waiting_list<core::orders_request, std::optional<core::runtime_orders>>
        m_polls;
    std::vector<std::function<void()>> m_later;
    std::vector<core::event> m_events;
    std::unique_ptr<worker_agent> m_agent;
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_agent_test);

} // namespace turmericswitch::workflow
