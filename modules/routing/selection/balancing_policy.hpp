#ifndef TURMERICSWITCH_ROUTING_SELECTION_BALANCING_POLICY_HPP
#define TURMERICSWITCH_ROUTING_SELECTION_BALANCING_POLICY_HPP

#include "core/hooks/random_source.hpp"
#include "core/types/units.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>

namespace turmericswitch::routing
{

/// A backend server that may receive the attempt.
struct candidate
{
    /// Position in `service_routes::backends`.
    std::size_t index = 0;
    /// Estimated number of attempts that run or wait there.
    std::uint32_t load = 0;
    /// Attempts that run there at the same time.
    std::uint32_t slots = 0;
    /// Smoothed latency; zero when unknown.
    core::duration latency{};
};

/// Load balancing policy: chooses one of the candidates, of which there is at
/// least one.
///
/// @return Position in the span.
using balancing_policy = std::function<std::size_t(std::span<candidate const>,
                                                   core::random_source const&)>;

/// @return A policy that takes each candidate with equal probability.
balancing_policy random_policy();

/// @return A policy that takes the candidate with the least load per slot, and
/// a random one of several.
balancing_policy least_outstanding_policy();

/// @return A policy that takes the one of two random candidates with less load
/// per slot.
balancing_policy power_of_two_policy();

/// @return A policy that takes the one of two random candidates with the
/// smaller product of load per slot and latency, which also avoids slow
/// servers.
balancing_policy power_of_two_latency_policy();

/// @return A policy that takes the smallest product of load per slot and
/// latency of all candidates.
balancing_policy least_expected_latency_policy();

/// @return The policy with the lowest tail latency in the measurement of
/// docs/routing.md, at present `least_expected_latency_policy`.
balancing_policy default_policy();

} // namespace turmericswitch::routing

#endif
