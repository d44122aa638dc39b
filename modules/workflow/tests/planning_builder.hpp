#ifndef TURMERICSWITCH_WORKFLOW_TESTS_PLANNING_BUILDER_HPP
#define TURMERICSWITCH_WORKFLOW_TESTS_PLANNING_BUILDER_HPP

#include "workflow/dispatch/stage_planner.hpp"
#include "workflow_builder.hpp"

#include <algorithm>
#include <string>
#include <vector>

// Builders for the tests of the planner.

namespace turmericswitch::workflow::testing
{

inline candidate_worker candidate(std::string const& name,
                                  std::int64_t millicores)
{
    candidate_worker result;
    result.worker = core::worker_id(name);
    result.life = core::incarnation(1);
    result.service = core::service_id("labels");
    result.rack = core::rack_id("rack-" + name);
    result.capacity.cpu = core::millicores(millicores);
    result.capacity.memory = core::byte_count(std::int64_t{1} << 40);
    result.free = result.capacity;
    result.spare = result.capacity.cpu;
    return result;
}

inline pending_stage pending(std::string const& id,
                             core::stage_description const& description,
                             std::uint32_t tasks)
{
    pending_stage result;
    result.stage = {core::workflow_id(id), 0, 0};
    result.description = &description;
    result.service = core::service_id("labels");
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        result.runs.push_back(run_of(id, 0, i));
    }
    return result;
}

inline std::size_t count_on(std::vector<core::run_placement> const& placements,
                            std::string const& worker)
{
    return static_cast<std::size_t>(
        std::count_if(placements.begin(),
                      placements.end(),
                      [&worker](core::run_placement const& each)
                      { return each.worker.value() == worker; }));
}

inline double no_tail(core::worker_id const&, cpu_by_image const&)
{
    return 0;
}

template <typename T>
std::vector<T*> pointers_to(std::vector<std::remove_const_t<T>>& items)
{
    std::vector<T*> result;
    result.reserve(items.size());
    for (auto& each : items)
    {
        result.push_back(&each);
    }
    return result;
}

} // namespace turmericswitch::workflow::testing

namespace turmericswitch::workflow
{

/// Plans for stages and workers that the test owns.
inline std::vector<core::run_placement>
plan_stages(std::vector<pending_stage> stages,
            std::vector<candidate_worker>& workers,
            std::size_t max_tasks,
            tail_hook const& tail,
            placement_policy const& policy = {})
{
    return plan_stages(testing::pointers_to<pending_stage const>(stages),
                       testing::pointers_to<candidate_worker>(workers),
                       max_tasks,
                       tail,
                       policy);
}

} // namespace turmericswitch::workflow

#endif
