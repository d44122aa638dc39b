#ifndef TURMERICSWITCH_TESTS_SUPPORT_CALL_FAULTS_HPP
#define TURMERICSWITCH_TESTS_SUPPORT_CALL_FAULTS_HPP

#include <cstdint>
#include <functional>

namespace turmericswitch::testing
{

/// Percentages of the calls to an unhealthy worker that fail. Each call is
/// drawn independently of the calls before it, also of those that it repeats.
struct call_faults
{
    /// Answered with a status that says that this call had no effect.
    std::uint64_t refused = 0;
    /// Answered with a status that says nothing about the effect.
    std::uint64_t failed = 0;
    std::uint64_t unanswered = 0;

    bool operator==(call_faults const&) const = default;
};

/// What happens to one call, and what its caller gets to see of it.
enum class call_fate
{
    /// Executed, and answered accordingly.
    answered,
    /// Not executed, and answered with a status that says so.
    refused,
    /// Not executed, and answered with a status that says nothing.
    failed_without_effect,
    /// Executed, and answered with a status that says nothing.
    failed_after_effect,
    /// Neither executed nor answered.
    request_lost,
    /// Executed, but not answered.
    answer_lost,
    /// Executed seconds after the caller's timeout.
    executed_late,
};

/// Returns a random number below its argument.
using random_hook = std::function<std::uint64_t(std::uint64_t limit)>;

/// Draws nothing if there are no faults.
call_fate draw_call_fate(call_faults const& faults, random_hook const& random);

} // namespace turmericswitch::testing

#endif
