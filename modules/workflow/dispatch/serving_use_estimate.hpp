#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_SERVING_USE_ESTIMATE_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_SERVING_USE_ESTIMATE_HPP

#include "workflow/dispatch/pace_controller.hpp"

#include <cstdint>
#include <functional>

namespace turmericswitch::workflow
{

/// Estimates the CPU that the serving tasks of one worker use, from what their
/// best-effort neighbours get.
///
/// A CPU shortage slows all best-effort tasks of a worker alike. So there is
/// none while one of them gets all that it requests, however little the others
/// use: a task may need less than it requests.
class serving_use_estimate
{
public:
    /// Corrects the estimate by one step.
    ///
    /// @param before The sample before `sample`.
    /// @param is_slowed Tells which tasks were slowed; they say nothing about a
    ///        shortage.
    void update(colocation_sample const& before,
                colocation_sample const& sample,
                std::function<bool(core::task_run const&)> const& is_slowed);

    /// @return CPU use in percent of the serving tasks' requests.
    std::int64_t percent() const noexcept;

private:
    std::int64_t m_percent = 60;
};

} // namespace turmericswitch::workflow

#endif
