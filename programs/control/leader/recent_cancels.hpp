#ifndef TURMERICSWITCH_CONTROL_LEADER_RECENT_CANCELS_HPP
#define TURMERICSWITCH_CONTROL_LEADER_RECENT_CANCELS_HPP

#include "core/messages/commands.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"
#include "overload/admit/admission_control.hpp"

#include <compare>
#include <map>

namespace turmericswitch::control
{

/// Cancels that found no workflow, kept for a short time: the submission of the
/// workflow may have got no answer and still arrive.
class recent_cancels
{
public:
    static constexpr core::duration memory =
        overload::admission_control::refusal_memory;

    void add(core::time_point now, core::cancel_workflow const& cancel);

    /// @return True if the workflow was cancelled within `memory`.
    bool contains(core::time_point now,
                  core::submit_workflow const& submission) const;

private:
    struct name
    {
        core::queue_id queue;
        core::workflow_id workflow;

        auto operator<=>(name const&) const = default;
    };

    std::map<name, core::time_point> m_cancelled;
};

} // namespace turmericswitch::control

#endif
