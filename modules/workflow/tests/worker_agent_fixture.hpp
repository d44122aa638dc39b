#ifndef TURMERICSWITCH_WORKFLOW_TESTS_WORKER_AGENT_FIXTURE_HPP
#define TURMERICSWITCH_WORKFLOW_TESTS_WORKER_AGENT_FIXTURE_HPP

#include "workflow/agent/worker_agent.hpp"
#include "workflow_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <utility>

namespace turmericswitch::workflow::testing
{

/// Each call of the agent is queued until the test answers it.
class worker_agent_fixture : public CppUnit::TestFixture
{
public:
    void setUp() override
    {
        m_starts.clear();
        m_stops.clear();
        m_syncs.clear();
        m_reports.clear();
        m_polls.clear();
        m_events.clear();
        agent_hooks hooks;
        hooks.on_event = [this](core::event const& what)
        { m_events.push_back(what); };
        hooks.after = [this](core::duration delay, std::function<void()> run) {
            m_delayed.push_back({delay, std::move(run)});
        };
        hooks.runtime.start = [this](auto call, auto done) {
            m_starts.push_back({call, done});
        };
        hooks.runtime.stop = [this](auto call, auto done) {
            m_stops.push_back({call, done});
        };
        hooks.runtime.pace = [](auto, auto done) { done(true); };
        hooks.runtime.sync = [this](auto call, auto done) {
            m_syncs.push_back({call, done});
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

protected:
    static core::worker_profile draining_profile(std::uint64_t life)
    {
        auto result = profile("w1", 8000, life);
        result.draining = true;
        return result;
    }

    static sync_result list_at(std::int64_t clock_ms,
                               std::vector<core::task_run> const& runs)
    {
        sync_result result;
        result.clock = std::chrono::milliseconds(clock_ms);
        for (auto const& run : runs)
        {
            result.runs.running.push_back({run, {}, 0, 0});
        }
        return result;
    }

    template <typename Call, typename Result>
    struct pending_call
    {
        Call call;
        std::function<void(Result)> done;
    };

    template <typename Call, typename Result>
    using pending_calls = std::deque<pending_call<Call, Result>>;

    template <typename List, typename Result>
    static void answer(List& list, Result result)
    {
        CPPUNIT_ASSERT(!list.empty());
        auto const one = std::move(list.front());
        list.pop_front();
        one.done(std::move(result));
    }

    /// Answers the sync call that was begun last.
    void answer_last_sync(std::optional<sync_result> result)
    {
        CPPUNIT_ASSERT(!m_syncs.empty());
        auto const last = std::move(m_syncs.back());
        m_syncs.pop_back();
        last.done(std::move(result));
    }

    void grant(std::uint64_t token,
               core::duration lease_until = std::chrono::seconds(5))
    {
        core::runtime_grant grant;
        grant.fencing_token = token;
        grant.lease_until = lease_until;
        answer(m_reports, std::optional(grant));
    }

    void start_up(std::uint64_t token = 1)
    {
        m_agent->registered(profile("w1"));
        grant(token);
    }

    /// A worker that runs nothing, and whose first list was reported. The sync
    /// call that is open afterwards waits for an end.
    void start_up_with_list()
    {
        start_up();
        answer(m_syncs, std::optional(sync_result{}));
        grant(1);
    }

    /// @param reserved CPU that all runs on the worker reserve; none is how
    ///        orders of an earlier release are read.
    void order_start(std::int64_t reserved = 0)
    {
        core::runtime_orders orders;
        orders.fencing_token = 1;
        orders.batch = 1;
        orders.reserved.cpu = core::millicores(reserved);
        orders.starts = {{m_run.task.workflow, "payload", {{m_run, {}, {}}}}};
        answer(m_polls, std::optional(orders));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             m_polls.front().call.received_batch);
    }

    /// Orders the start of a task that must not be called again while a call
    /// without an answer may be executed.
    void order_single_start(core::task_run const& run)
    {
        core::runtime_orders orders;
        orders.fencing_token = 1;
        orders.batch = 1;
        orders.starts = {{run.task.workflow, "payload", {{run, {}, {}, true}}}};
        answer(m_polls, std::optional(orders));
    }

    bool has_event(core::event_code code) const
    {
        return std::any_of(m_events.begin(),
                           m_events.end(),
                           [code](core::event const& each)
                           { return each.code == code; });
    }

    int count_of(core::event_code code) const
    {
        return static_cast<int>(std::count_if(m_events.begin(),
                                              m_events.end(),
                                              [code](core::event const& each)
                                              { return each.code == code; }));
    }

    core::runtime_report const& last_report() const
    {
        CPPUNIT_ASSERT(!m_reports.empty());
        return m_reports.back().call;
    }

    struct delayed_call
    {
        core::duration delay{};
        std::function<void()> run;
    };

    void run_delayed()
    {
        for (auto const& each : std::exchange(m_delayed, {}))
        {
            each.run();
        }
    }

    /// Runs the delayed calls as if the time had passed since each was queued.
    void run_delayed_for(core::duration time)
    {
        for (auto& each : std::exchange(m_delayed, {}))
        {
            if (each.delay <= time)
            {
                each.run();
            }
            else
            {
                m_delayed.push_back(std::move(each));
            }
        }
    }

    core::task_run m_run = run_of("a", 0, 0);
    pending_calls<start_call, start_outcome> m_starts;
    pending_calls<stop_call, bool> m_stops;
    pending_calls<sync_call, std::optional<sync_result>> m_syncs;
    pending_calls<core::runtime_report, std::optional<core::runtime_grant>>
        m_reports;
    pending_calls<core::orders_request, std::optional<core::runtime_orders>>
        m_polls;
    std::vector<delayed_call> m_delayed;
    std::vector<core::event> m_events;
    std::unique_ptr<worker_agent> m_agent;
};

} // namespace turmericswitch::workflow::testing

#endif
