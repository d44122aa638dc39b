#ifndef TURMERICSWITCH_WORKFLOW_TESTS_WORKFLOW_BUILDER_HPP
#define TURMERICSWITCH_WORKFLOW_TESTS_WORKFLOW_BUILDER_HPP

#include "core/messages/workflow.hpp"
#include "workflow/table/workflow_table.hpp"

#include <string>
#include <vector>

// Builders for the values that several tests of this module need.

namespace turmericswitch::workflow::testing
{

inline core::time_point at_ms(std::int64_t milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

inline core::queue_rule queue(std::uint32_t attempts = 3)
{
    core::queue_rule rule;
    rule.queue = core::queue_id("proofs");
    rule.host = "jobs.example";
    rule.path_prefix = "/proofs/";
    rule.service = core::service_id("labels");
    rule.attempts = attempts;
    rule.stretch_permille = 2000;
    rule.target_latency = std::chrono::seconds(1);
    return rule;
}

inline core::stage_description stage(std::uint32_t tasks,
                                     std::int64_t millicores = 1000)
{
    core::stage_description result;
    result.tasks = tasks;
    result.need.cpu = core::millicores(millicores);
    result.need.memory = core::byte_count(1 << 20);
    result.estimate = std::chrono::seconds(1);
    return result;
}

inline core::submit_workflow submission(std::string id,
                                        std::vector<core::stage_description> s)
{
    core::submit_workflow result;
    result.queue = core::queue_id("proofs");
    result.workflow = core::workflow_id(std::move(id));
    result.description.payload = "payload of " + result.workflow.value();
    result.description.stages = std::move(s);
    return result;
}

inline core::task_run run_of(std::string const& id,
                             std::uint32_t stage_number,
                             std::uint32_t index,
                             std::uint32_t attempt = 1)
{
    return {{core::workflow_id(id), 0, stage_number, index},
            core::attempt_number(attempt)};
}

inline core::run_placement placed(core::task_run const& run,
                                  std::string const& worker = "w1",
                                  std::uint64_t life = 1)
{
    return {run, core::worker_id(worker), core::incarnation(life)};
}

inline core::run_outcome ended(core::task_run const& run,
                               core::run_end how,
                               std::string const& worker = "w1",
                               std::uint64_t life = 1,
                               std::string const& checkpoint = "")
{
    return {run,
            core::worker_id(worker),
            core::incarnation(life),
            how,
            core::checkpoint_id(checkpoint)};
}

inline core::worker_profile profile(std::string const& worker,
                                    std::int64_t millicores = 8000,
                                    std::uint64_t life = 1)
{
    core::worker_profile result;
    result.worker = core::worker_id(worker);
    result.life = core::incarnation(life);
    result.service = core::service_id("labels");
    result.zone = core::zone_id("zone-a");
    result.rack = core::rack_id("rack-" + worker);
    result.labels = {"plain", result.rack.value()};
    result.capacity.cpu = core::millicores(millicores);
    result.capacity.memory = core::byte_count(std::int64_t{64} << 20);
    return result;
}

} // namespace turmericswitch::workflow::testing

#endif
