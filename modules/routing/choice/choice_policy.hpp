#ifndef TURMERICSWITCH_ROUTING_CHOICE_CHOICE_POLICY_HPP
#define TURMERICSWITCH_ROUTING_CHOICE_CHOICE_POLICY_HPP

#include "core/hooks/random_source.hpp"
#include "core/types/units.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>

namespace turmericswitch::routing
{

/// A backend server that may take the attempt.
struct candidate
{
    /// Position in `service_routes::backends`.
    std::size_t index = 0;
    /// Estimated attempts in progress there.
    std::uint32_t load = 0;
    std::uint32_t slots = 0;
    /// Smoothed latency; zero when unknown.
    core::duration latency{};
};

/// Chooses one of the candidates; there is at least one.
///
/// @return Position in the span.
using choice_policy = std::function<std::size_t(std::span<candidate const>,
                                                core::random_source const&)>;

/// @return A policy that takes any candidate with equal probability.
choice_policy choose_random();

/// @return A policy that takes the least load, ties at random.
choice_policy choose_least_outstanding();

/// @return A policy that takes the less loaded of two random candidates.
choice_policy choose_power_of_two();

/// @return A policy that takes the one of two random candidates with the
/// smaller product of load and latency, which also avoids slow servers.
choice_policy choose_power_of_two_latency();

/// @return A policy that takes the smallest product of load and latency of
/// all candidates.
choice_policy choose_least_expected();

/// @return The policy with the lowest tail latency in the measurement of
/// docs/routing.md, at present `choose_least_expected`.
choice_policy default_choice();

} // namespace turmericswitch::routing

#endif
