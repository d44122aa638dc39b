#ifndef TURMERICSWITCH_WORKFLOW_TESTS_SIMULATION_PARTS_HPP
#define TURMERICSWITCH_WORKFLOW_TESTS_SIMULATION_PARTS_HPP

#include "dispatch_simulation.hpp"

namespace turmericswitch::workflow::testing
{

constexpr core::duration fuzz_lease = std::chrono::seconds(9);
constexpr std::int64_t worker_millicores = 4000;

/// A leader. After it was deposed it still answers polls but commits nothing.
struct dispatch_simulation::leader
{
    leader(workflow_table const& shared,
           std::uint64_t token,
           core::time_point now)
        : table(&shared),
          work(shared,
               {{fuzz_lease, fuzz_lease}},
               token,
               now,
               [](core::event const&) {})
    {
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
};

/// An instance with a worker and its sidecar.
struct dispatch_simulation::worker_host
{
    worker_host(std::string given,
                ::turmericswitch::testing::runtime_model::plan_hook plan)
        : name(std::move(given)), model(fuzz_lease, std::move(plan))
    {
    }

    std::string name;
    ::turmericswitch::testing::runtime_model model;
    std::unique_ptr<worker_agent> agent;
    std::uint64_t agent_life = 0;
    std::uint64_t worker_life = 0;
    bool is_partitioned = false;
    /// Number of partitions so far.
    std::uint64_t partitions = 0;
    bool is_down = false;
    /// Percentage of calls to the worker that get no answer.
    std::uint64_t unanswered = 0;
};

} // namespace turmericswitch::workflow::testing

#endif
