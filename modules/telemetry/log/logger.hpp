#ifndef TURMERICSWITCH_TELEMETRY_LOG_LOGGER_HPP
#define TURMERICSWITCH_TELEMETRY_LOG_LOGGER_HPP

#include "core/events/event.hpp"
#include "telemetry/log/log_level.hpp"

#include <string>
#include <string_view>

namespace turmericswitch::telemetry
{

/// Writes the log lines of one part, each with the prefix of the part.
///
/// Use one per part of a program, for example logger("gateway"). Any thread
/// may write. Without a logging object nothing is written.
class logger
{
public:
    /// @param part Prefix without the colon.
    explicit logger(std::string part);

    /// @return True if lines of this level are written; ask before building
    /// an expensive text.
    static bool enabled(log_level level) noexcept;

    void debug(std::string_view text) const;
    void info(std::string_view text) const;
    void warning(std::string_view text) const;
    void error(std::string_view text) const;

    /// Writes a numbered event with its fields, at the event's severity.
    void write(core::event const& what) const;

    /// Control characters of the text are written as spaces, so that one call
    /// is one line.
    void write(log_level level, std::string_view text) const;

private:
    void write_line(log_level level, std::string const& line) const;

    std::string m_part;
};

} // namespace turmericswitch::telemetry

#endif
