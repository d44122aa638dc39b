#ifndef TURMERICSWITCH_WORKFLOW_TESTS_SIMULATION_PARTS_HPP
#define TURMERICSWITCH_WORKFLOW_TESTS_SIMULATION_PARTS_HPP

#include "dispatch_simulation.hpp"

#include <functional>
#include <optional>
#include <set>

namespace turmericswitch::workflow::testing
{

constexpr std::int64_t worker_millicores = 4000;

/// A call without an answer is given up after this time.
constexpr core::duration call_timeout = std::chrono::seconds(1);

/// Capacity of a worker that has not shrunk.
inline core::resources full_capacity()
{
    return {core::millicores(worker_millicores),
            core::byte_count(std::int64_t{64} << 20),
            core::accelerator_count(2)};
}

/// A leader. After it was deposed it still answers polls but commits nothing.
struct dispatch_simulation::leader
{
    leader(workflow_table const& shared,
           simulation_setup const& setup,
           core::term term,
           core::time_point now)
        : table(&shared),
          work(shared, options_of(setup), term, now, [](core::event const&) {})
    {
    }

    static dispatch_options options_of(simulation_setup const& setup)
    {
        dispatch_options options;
        options.leases = setup.leases;
        options.copies.enabled = setup.has_copies;
        options.placement = setup.placement;
        options.overload = setup.overload;
        return options;
    }

    workflow_table const* table;
    dispatcher work;
    bool is_planning = false;
    bool is_deposed = false;
    struct poll
    {
        core::orders_request request;
        std::function<void(std::optional<core::runtime_orders>)> done;
        /// True until orders were derived for it once.
        bool is_new = true;
    };
    std::vector<poll> polls;
    /// Workers for which orders were announced since their last poll was
    /// served.
    std::set<core::worker_id> announced;
};

/// An instance with a worker and its sidecar.
struct dispatch_simulation::worker_host
{
    worker_host(std::string given,
                core::duration longest_lease,
                ::turmericswitch::testing::runtime_model::plan_hook plan)
        : name(std::move(given)), model(longest_lease, std::move(plan))
    {
        model.set_stop_time(std::chrono::milliseconds(300));
    }

    bool has_call_faults() const
    {
        return unanswered > 0 ||
               faults != ::turmericswitch::testing::call_faults{};
    }

    struct capacity_change
    {
        core::time_point at;
        core::resources capacity;
        /// When the worker first registered with it. A worker that is down
        /// does not register.
        std::optional<core::time_point> registered_at;
    };

    std::string name;
    ::turmericswitch::testing::runtime_model model;
    std::unique_ptr<worker_agent> agent;
    std::uint64_t agent_life = 0;
    std::uint64_t worker_life = 0;
    /// The incarnation that answered the last sync call: the connection of that
    /// answer leads to no other.
    std::uint64_t answered_life = 0;
    bool is_partitioned = false;
    /// Number of partitions so far.
    std::uint64_t partitions = 0;
    bool is_down = false;
    /// Late calls that have reached the instance while the worker was down. Its
    /// next incarnation executes them before anything else.
    std::vector<std::function<void()>> waiting_calls;
    /// Number of times that the whole instance went down.
    std::uint64_t outages = 0;
    /// True if the worker is down and never returns.
    bool is_gone = false;
    /// True while every task that starts there fails.
    bool fails_tasks = false;
    /// Percentage of calls to the worker that get no answer.
    std::uint64_t unanswered = 0;
    /// Of the calls to the worker while it is unhealthy.
    ::turmericswitch::testing::call_faults faults;
    /// Until then an incarnation that has just begun refuses sync calls.
    core::time_point refuses_sync_until;
    /// Number of times that it became unhealthy.
    std::uint64_t unhealthy_phases = 0;
    /// Capacities from the first to the current one.
    std::vector<capacity_change> capacities{{{}, full_capacity(), {}}};
};

/// One process of the sidecar of a host. One that was replaced makes no calls
/// and gets no answers.
struct dispatch_simulation::sidecar_process
{
    worker_host* host = nullptr;
    std::uint64_t life = 0;

    bool is_replaced() const
    {
        return host->agent_life != life;
    }
};

template <typename Done, typename Result>
auto dispatch_simulation::complete_once(sidecar_process const& sidecar,
                                        Done done,
                                        Result on_timeout)
{
    auto const open = std::make_shared<bool>(true);
    auto finish = [open, sidecar, done](auto result)
    {
        if (std::exchange(*open, false) && !sidecar.is_replaced())
        {
            done(result);
        }
    };
    schedule(call_timeout, [finish, on_timeout] { finish(on_timeout); });
    return finish;
}

} // namespace turmericswitch::workflow::testing

#endif
