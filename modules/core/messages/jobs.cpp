#include "core/messages/jobs.hpp"

namespace turmericswitch::core
{

std::string_view to_string(job_state state)
{
    switch (state)
    {
    case job_state::queued:
        return "queued";
    case job_state::starting:
        return "starting";
    case job_state::running:
        return "running";
    case job_state::evicting:
        return "evicting";
    case job_state::suspended:
        return "suspended";
    case job_state::finished:
        return "finished";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    }
    return "unknown";
}

bool is_final(job_state state) noexcept
{
    return state == job_state::finished || state == job_state::failed ||
           state == job_state::cancelled;
}

} // namespace turmericswitch::core
