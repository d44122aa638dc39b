#ifndef TURMERICSWITCH_WORKFLOW_AGENT_START_CALLS_HPP
#define TURMERICSWITCH_WORKFLOW_AGENT_START_CALLS_HPP

#include "core/messages/workflow.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace turmericswitch::workflow
{

/// The start calls of which the effect may still come.
///
/// A stop, a list or a fencing token that shuts such a call out is forgotten
/// when the worker restarts. So a call is resolved only by its own answer, by
/// its effect if no other call can have had it, or when it is too old to be
/// executed.
class start_calls
{
public:
    /// Identifies a call among all of the sidecar.
    using call_number = std::uint64_t;

    /// @param is_single True if no other call of the task may be made before
    ///        this one is resolved.
    /// @return The number of the call.
    call_number called(core::task_run const& run, bool is_single);

    /// Must be called when a call is answered, so that it has had its effect or
    /// has none, or is too old to be executed.
    ///
    /// @return False if the call was resolved before.
    bool resolved(core::task_run const& run, call_number call);

    /// Must be called for each run that the worker lists. The list shows the
    /// effect of a single call.
    void listed(core::task_run const& run);

    /// @return True if a start of the task, of any attempt, may still be
    ///         executed.
    bool has_open(core::task_ref const& task) const;

    /// @return The runs with such calls.
    std::vector<core::task_run> unresolved() const;

    /// Must be called when the worker's id has changed: a call names the id,
    /// and the worker rejects those for another one.
    void clear() noexcept;

private:
    struct open_calls
    {
        std::set<call_number> numbers;
        bool is_single = false;
    };

    std::map<core::task_run, open_calls> m_open;
    call_number m_last = 0;
};

} // namespace turmericswitch::workflow

#endif
