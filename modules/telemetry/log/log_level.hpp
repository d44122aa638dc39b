#ifndef TURMERICSWITCH_TELEMETRY_LOG_LOG_LEVEL_HPP
#define TURMERICSWITCH_TELEMETRY_LOG_LOG_LEVEL_HPP

namespace turmericswitch::telemetry
{

/// Importance of a log line, in ascending order.
enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// @return "debug", "info", "warning" or "error".
constexpr char const* to_string(log_level level) noexcept
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        break;
    }
    return "error";
}

} // namespace turmericswitch::telemetry

#endif
