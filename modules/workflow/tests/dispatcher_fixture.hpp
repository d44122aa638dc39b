#ifndef TURMERICSWITCH_WORKFLOW_TESTS_DISPATCHER_FIXTURE_HPP
#define TURMERICSWITCH_WORKFLOW_TESTS_DISPATCHER_FIXTURE_HPP

#include "workflow/dispatch/dispatcher.hpp"
#include "workflow_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace turmericswitch::workflow::testing
{

/// A dispatcher with a table of its own, and what its tests report and commit.
class dispatcher_fixture : public CppUnit::TestFixture
{
public:
    void setUp() override
    {
        m_table = {};
        m_now = at_ms(1'000'000);
        m_config = {};
        elect({std::chrono::seconds(6), std::chrono::seconds(6)});
    }

protected:
    /// Submits job `a` and places all its tasks on w1.
    void place(std::vector<core::stage_description> stages)
    {
        m_table.submit(submission("a", std::move(stages)), queue(), m_now);
        report({});
        grant();
        commit();
    }

    static std::vector<core::task_run>
    started(core::runtime_orders const& orders)
    {
        std::vector<core::task_run> runs;
        for (auto const& group : orders.starts)
        {
            for (auto const& each : group.starts)
            {
                runs.push_back(each.run);
            }
        }
        return runs;
    }

    void report_refused(std::vector<core::task_run> runs,
                        core::worker_profile const& of)
    {
        core::runtime_report result;
        result.host = core::instance_id("host");
        result.profile = of;
        result.clock = std::chrono::seconds(50);
        result.runs.emplace();
        result.refused = std::move(runs);
        m_dispatcher->report(m_now, std::move(result));
    }

    /// Replaces the leader by one that is elected now.
    void elect(lease_policy leases)
    {
        dispatch_options options{leases};
        options.copies = m_copies;
        options.placement = m_placement;
        m_dispatcher = std::make_unique<dispatcher>(
            m_table,
            options,
            core::term(7),
            m_now,
            [this](core::event const& what) { m_events.push_back(what); });
    }

    void record_lease(core::duration length)
    {
        core::workflow_progress command;
        command.longest_lease = length;
        m_table.progress(command, m_now);
    }

    /// Submits job `a`, whose task an earlier leader placed on a worker that
    /// never reports.
    void place_on_lost_worker()
    {
        submit();
        core::workflow_progress by_earlier;
        by_earlier.placements = {placed(run_of("a", 0, 0), "gone")};
        m_table.progress(by_earlier, m_now);
    }

    void submit()
    {
        m_table.submit(submission("a", {stage(1)}), queue(), m_now);
    }

    /// The worker's clock in most reports.
    static constexpr std::int64_t at_work_ms = 50'000;

    /// Its clock when it is steady, if its first report was at work.
    static constexpr std::int64_t steady_ms = at_work_ms + 2000;

    static core::worker_runs running(std::vector<core::task_run> const& runs)
    {
        core::worker_runs result;
        for (auto const& run : runs)
        {
            core::running_task row;
            row.run = run;
            result.running.push_back(row);
        }
        return result;
    }

    /// The sidecar reports that its worker does not answer.
    void report_silent(std::uint64_t life = 1)
    {
        core::runtime_report result;
        result.host = core::instance_id("host");
        result.sidecar = m_sidecar;
        result.profile = profile("w1", 8000, life);
        result.clock = std::chrono::milliseconds(at_work_ms);
        result.runs.emplace();
        result.silent = true;
        m_dispatcher->report(m_now, std::move(result));
    }

    bool report(core::worker_runs runs,
                core::worker_profile const& of = profile("w1"),
                std::int64_t clock_ms = at_work_ms)
    {
        core::runtime_report result;
        result.host = core::instance_id("host");
        result.sidecar = m_sidecar;
        result.profile = of;
        result.clock = std::chrono::milliseconds(clock_ms);
        result.runs = std::move(runs);
        result.unresolved.is_complete = m_knows_all_starts;
        return m_dispatcher->report(m_now, std::move(result));
    }

    core::runtime_grant grant(std::uint64_t life = 1)
    {
        return m_dispatcher->grant(core::worker_id("w1"),
                                   core::incarnation(life));
    }

    /// Places the task of job `a` on the incarnation of w1, which is steady.
    void place_in(std::uint64_t life)
    {
        auto const worker = profile("w1", 8000, life);
        report({}, worker);
        report({}, worker, steady_ms);
        grant(life);
        commit();
        CPPUNIT_ASSERT(
            m_table.is_held(run_of("a", 0, 0, static_cast<std::uint32_t>(life)),
                            core::worker_id("w1"),
                            core::incarnation(life)));
    }

    core::workflow_state state_of(std::string const& id) const
    {
        return m_table.find(core::workflow_id(id))->state;
    }

    std::optional<core::workflow_progress> plan_once()
    {
        return m_dispatcher->plan({m_now, m_now + m_cluster_ahead, m_wall},
                                  m_config);
    }

    /// Commits the command that records the length of leases.
    void commit_record()
    {
        auto const command = plan_once();
        CPPUNIT_ASSERT(command.has_value());
        core::workflow_progress expected;
        expected.longest_lease = command->longest_lease;
        CPPUNIT_ASSERT(expected.longest_lease > core::duration{});
        CPPUNIT_ASSERT(*command == expected);
        m_table.progress(*command, m_now);
        m_dispatcher->applied(m_now, *command);
    }

    /// Plans the work. A length of leases that must be recorded comes first.
    std::optional<core::workflow_progress> plan()
    {
        auto command = plan_once();
        if (command && command->longest_lease > core::duration{})
        {
            m_table.progress(*command, m_now);
            m_dispatcher->applied(m_now, *command);
            command = plan_once();
        }
        return command;
    }

    void commit()
    {
        auto const command = plan();
        CPPUNIT_ASSERT(command.has_value());
        m_table.progress(*command, m_now);
        m_dispatcher->applied(m_now, *command);
    }

    core::runtime_orders orders()
    {
        return m_dispatcher->take_orders(
            m_now, core::worker_id("w1"), core::incarnation(1), m_config);
    }

    /// Submits job `a` and places its task on w1.
    void start_one()
    {
        submit();
        report({});
        grant();
        commit();
        CPPUNIT_ASSERT(!m_table.held_on(core::worker_id("w1")).empty());
    }

    placement_options m_placement{};
    workflow_table m_table;
    core::configuration m_config;
    core::time_point m_now;
    core::wall_time m_wall;
    core::incarnation m_sidecar{1};
    /// Whether the sidecar runs for so long that it knows all starts.
    bool m_knows_all_starts = false;
    /// Used from the next election on.
    copy_options m_copies;
    core::event const& last_event(core::event_code code) const
    {
        auto const found = std::find_if(m_events.rbegin(),
                                        m_events.rend(),
                                        [code](core::event const& each)
                                        { return each.code == code; });
        CPPUNIT_ASSERT(found != m_events.rend());
        return *found;
    }

    static bool has_field(core::event const& what,
                          core::event_field const& field)
    {
        return std::find(what.fields.begin(), what.fields.end(), field) !=
               what.fields.end();
    }

    /// Offset of the replicated clock from this process's clock.
    core::duration m_cluster_ahead{};
    std::vector<core::event> m_events;
    std::unique_ptr<dispatcher> m_dispatcher;
};

} // namespace turmericswitch::workflow::testing

#endif
