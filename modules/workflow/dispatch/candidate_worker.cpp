#include "workflow/dispatch/candidate_worker.hpp"

namespace turmericswitch::workflow
{

crash_suspicion suspicion_after(std::uint32_t crashes) noexcept
{
    if (crashes == 0)
    {
        return crash_suspicion::none;
    }
    return crashes == 1 ? crash_suspicion::spread : crash_suspicion::isolated;
}

std::string to_string(stage_ref const& stage)
{
    return stage.workflow.value() + "." + std::to_string(stage.occurrence) +
           "." + std::to_string(stage.stage);
}

stage_ref stage_of(core::task_ref const& task)
{
    return {task.workflow, task.occurrence, task.stage};
}

core::resources reserved_by(core::stage_description const& stage)
{
    auto need = stage.need;
    if (stage.behaviour.uses_spare_cpu)
    {
        need.cpu = core::millicores(0);
    }
    return need;
}

void candidate_worker::add(stage_ref const& stage,
                           core::stage_description const& description,
                           std::uint32_t pace)
{
    constexpr std::int64_t percent = 100;
    ++runs;
    free -= reserved_by(description);
    bool const is_serving =
        description.behaviour.target_latency > core::duration{};
    std::int64_t const used = is_serving ? serving_use_percent : pace;
    spare -= core::millicores(description.need.cpu.value() * used / percent);
    serving += is_serving ? 1 : 0;
    if (is_serving)
    {
        ++serving_images[description.behaviour.image];
    }
    if (description.behaviour.uses_spare_cpu)
    {
        ++best_effort;
        ++best_effort_images[description.behaviour.image];
    }
    bool const is_long_running = description.behaviour.long_running;
    if (is_long_running)
    {
        long_running += reserved_by(description);
    }
    if (is_long_running || description.constraints.max_per_worker > 0)
    {
        ++per_stage[stage];
    }
}

void candidate_worker::add_planned(stage_ref const& stage,
                                   core::stage_description const& description)
{
    add(stage, description);
    trials_left -= trials_left > 0 ? 1 : 0;
    if (description.behaviour.uses_spare_cpu)
    {
        planned[description.behaviour.image] += description.need.cpu;
    }
}

void candidate_worker::add_not_established(core::workflow_id const& workflow,
                                           crash_suspicion suspicion)
{
    ++not_established[workflow];
    if (suspicion != crash_suspicion::none)
    {
        suspects.insert(workflow);
    }
    if (suspicion == crash_suspicion::isolated)
    {
        isolated_for = workflow;
    }
}

bool candidate_worker::is_isolated_for_other(
    core::workflow_id const& workflow) const
{
    return !isolated_for.value().empty() && isolated_for != workflow;
}

bool candidate_worker::is_held_for_other(stage_ref const& stage,
                                         std::uint32_t priority,
                                         core::resources const& need) const
{
    if (!held || held->stage == stage || priority < held->priority)
    {
        return false;
    }
    auto const left = free - need;
    auto const delays = [](auto used, auto remaining, auto kept)
    { return used.value() > 0 && remaining < kept; };
    return delays(need.cpu, left.cpu, held->need.cpu) ||
           delays(need.memory, left.memory, held->need.memory) ||
           delays(
               need.accelerators, left.accelerators, held->need.accelerators);
}

bool candidate_worker::has_no_new_run_of_others(
    core::workflow_id const& workflow) const
{
    return not_established.size() == not_established.count(workflow);
}

} // namespace turmericswitch::workflow
