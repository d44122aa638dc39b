#ifndef TURMERICSWITCH_CORE_HOOKS_RANDOM_SOURCE_HPP
#define TURMERICSWITCH_CORE_HOOKS_RANDOM_SOURCE_HPP

#include "core/types/units.hpp"

#include <cstdint>
#include <functional>

namespace turmericswitch::core
{

/// Returns the next random number. Decision modules take it as a hook, so
/// that a seed replays every decision.
using random_source = std::function<std::uint64_t()>;

/// @return A source (SplitMix64) that gives the same numbers for the same
/// seed on every machine. A source belongs to one thread.
random_source seeded_random(std::uint64_t seed);

/// @param limit Must be above 0.
/// @return A number from 0 to `limit - 1`.
std::uint64_t random_below(random_source const& source, std::uint64_t limit);

/// @return A number from 0 up to, but without, 1.
double random_unit(random_source const& source);

/// Full-jitter backoff: a random time up to a limit that doubles with every
/// attempt.
///
/// @param attempt 0 for the first wait.
/// @return A time from 0 to min(cap, base * 2^attempt).
duration full_jitter(random_source const& source,
                     duration base,
                     duration cap,
                     unsigned attempt);

} // namespace turmericswitch::core

#endif
