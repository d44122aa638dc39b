#ifndef TURMERICSWITCH_TELEMETRY_LOG_LOG_STATE_HPP
#define TURMERICSWITCH_TELEMETRY_LOG_LOG_STATE_HPP

#include "telemetry/log/line_limiter.hpp"
#include "telemetry/log/log_level.hpp"

#include <atomic>

namespace turmericswitch::telemetry
{

/// Lowest level written; above log_level::error when nothing is.
/// Implementation detail of this module.
std::atomic<int>& lowest_level() noexcept;

/// True while lines are JSON objects.
std::atomic<bool>& writes_json() noexcept;

/// Bounds the lines of each event.
line_limiter& limiter() noexcept;

/// Writes how many lines were dropped since the last call, if any.
void report_dropped_lines();

constexpr int nothing_is_written = static_cast<int>(log_level::error) + 1;

} // namespace turmericswitch::telemetry

#endif
