#ifndef TURMERICSWITCH_TELEMETRY_LOG_LOG_STATE_HPP
#define TURMERICSWITCH_TELEMETRY_LOG_LOG_STATE_HPP

#include "telemetry/log/log_level.hpp"

#include <atomic>

namespace turmericswitch::telemetry
{

/// Lowest level written; above log_level::error when nothing is.
/// Implementation detail of this module.
std::atomic<int>& lowest_level() noexcept;

constexpr int nothing_is_written = static_cast<int>(log_level::error) + 1;

} // namespace turmericswitch::telemetry

#endif
