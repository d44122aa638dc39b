#ifndef TURMERICSWITCH_WORKFLOW_AGENT_START_CALLS_HPP
#define TURMERICSWITCH_WORKFLOW_AGENT_START_CALLS_HPP

#include "core/messages/workflow.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace turmericswitch::workflow
{

/// The start calls of which the effect may still come.
///
/// A stop, a list or a fencing token that shuts such a call out is forgotten
/// when the worker restarts. So a call is resolved only by its own answer, or
/// when it is too old to be executed.
class start_calls
{
public:
    void called(core::task_run const& run);

    /// Must be called when a call is answered, so that it has had its effect or
    /// has none, or is too old to be executed.
    void resolved(core::task_run const& run);

    /// @return The runs with such calls.
    std::vector<core::task_run> unresolved() const;

    /// Must be called when the worker's id has changed: a call names the id,
    /// and the worker rejects those for another one.
    void clear() noexcept;

private:
    /// Number of such calls for each run.
    std::map<core::task_run, std::uint32_t> m_calls;
};

} // namespace turmericswitch::workflow

#endif
