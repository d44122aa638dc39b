#ifndef TURMERICSWITCH_TELEMETRY_LOG_LOGGING_HPP
#define TURMERICSWITCH_TELEMETRY_LOG_LOGGING_HPP

#include "telemetry/log/log_level.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace turmericswitch::telemetry
{

/// Where log lines go.
struct log_options
{
    log_level lowest = log_level::info;
    /// File that lines are appended to; empty for the standard error stream.
    std::string file;
    /// Writes one JSON object a line, to standard output unless there is a
    /// file, instead of plain text to standard error.
    bool json = false;
    /// Lines of one event, or of texts, that are written in one second; 0 for
    /// no limit. Covers a line for each of 610 starts a second.
    std::uint32_t most_per_second = 1000;
};

/// Writes log lines while it lives.
///
/// Create one at the beginning of main(). A thread of its own writes the lines
/// and no caller waits for it. Lines beyond the limit or beyond what fits in
/// the buffers are dropped; an event `lines_dropped` says how many.
class logging
{
public:
    /// @return Null if the file can't be opened; last_reason() has io_failed.
    static std::unique_ptr<logging> start(log_options const& options);

    /// Writes what is queued.
    ~logging();

    logging(logging const&) = delete;
    logging& operator=(logging const&) = delete;

private:
    struct state;
    explicit logging(std::unique_ptr<state> hidden);

    std::unique_ptr<state> m_state;
};

} // namespace turmericswitch::telemetry

#endif
