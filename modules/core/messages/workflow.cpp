#include "core/messages/workflow.hpp"

namespace turmericswitch::core
{

std::string to_string(task_ref const& task)
{
    return task.workflow.value() + '.' + std::to_string(task.occurrence) + '.' +
           std::to_string(task.stage) + '.' + std::to_string(task.index);
}

std::string_view to_string(run_end end)
{
    switch (end)
    {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lapsed:
        return "lapsed";
    case run_end::broken:
        return "broken";
    case run_end::alone:
        return "alone";
    case run_end::refused:
        return "refused";
    case run_end::lost:
        return "lost";
    case run_end::crashed:
        return "crashed";
    case run_end::suspected:
        return "suspected";
    }
    return "unknown";
}

std::string_view to_string(workflow_state state)
{
    switch (state)
    {
    case workflow_state::queued:
        return "queued";
    case workflow_state::running:
        return "running";
    case workflow_state::completed:
        return "completed";
    case workflow_state::failed:
        return "failed";
    case workflow_state::cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::uint32_t possible_crashes(task_record const& task) noexcept
{
    return task.crashes + static_cast<std::uint32_t>(task.suspected.size());
}

bool is_final(workflow_state state) noexcept
{
    return state == workflow_state::completed ||
           state == workflow_state::failed ||
           state == workflow_state::cancelled;
}

} // namespace turmericswitch::core
