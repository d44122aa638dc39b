#ifndef TURMERICSWITCH_TELEMETRY_METRICS_THREAD_STRIPE_HPP
#define TURMERICSWITCH_TELEMETRY_METRICS_THREAD_STRIPE_HPP

#include <cstddef>

namespace turmericswitch::telemetry
{

/// Parts that a shared object is split into, so that threads on the request
/// path seldom touch the same part.
constexpr std::size_t stripe_count = 16;

/// Spacing that keeps stripes off each other's cache lines.
constexpr std::size_t cache_line_bytes = 64;

/// @return A number below stripe_count that stays the same for a thread;
/// threads get the numbers in turn.
std::size_t stripe_of_this_thread() noexcept;

} // namespace turmericswitch::telemetry

#endif
