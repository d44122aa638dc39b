#include "telemetry/log/logger.hpp"

#include "telemetry/log/log_state.hpp"

#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace turmericswitch::telemetry
{

namespace
{

using source_type = boost::log::sources::severity_logger<log_level>;

// One source per thread needs no lock.
source_type& source_of_this_thread()
{
    thread_local source_type source;
    return source;
}

std::string one_line(std::string text)
{
    std::replace_if(
        text.begin(),
        text.end(),
        [](char c) { return static_cast<unsigned char>(c) < ' '; },
        ' ');
    return text;
}

log_level level_of(core::event_severity severity)
{
    switch (severity)
    {
    case core::event_severity::info:
        return log_level::info;
    case core::event_severity::warning:
        return log_level::warning;
    case core::event_severity::error:
        break;
    }
    return log_level::error;
}

/// The steady clock in seconds: a step of the time of day must not close or
/// open the limit.
std::uint32_t this_second()
{
    auto const now = std::chrono::steady_clock::now().time_since_epoch();
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now).count());
}

void report_drops_once_a_second()
{
    if (limiter().is_new_second(this_second()))
    {
        report_dropped_lines();
    }
}

} // namespace

std::atomic<bool>& writes_json() noexcept
{
    static std::atomic<bool> json = false;
    return json;
}

line_limiter& limiter() noexcept
{
    static line_limiter limits;
    return limits;
}

void report_dropped_lines()
{
    logger const log("log");
    for (auto const& [what, count] : limiter().take_dropped())
    {
        log.write({core::event_code::lines_dropped,
                   {core::text_field("lines", what),
                    core::number_field("count", count)}});
    }
}

std::atomic<int>& lowest_level() noexcept
{
    static std::atomic<int> level = nothing_is_written;
    return level;
}

logger::logger(std::string part) : m_part(std::move(part)) {}

bool logger::enabled(log_level level) noexcept
{
    return static_cast<int>(level) >=
           lowest_level().load(std::memory_order_relaxed);
}

void logger::debug(std::string_view text) const
{
    write(log_level::debug, text);
}

void logger::info(std::string_view text) const
{
    write(log_level::info, text);
}

void logger::warning(std::string_view text) const
{
    write(log_level::warning, text);
}

void logger::error(std::string_view text) const
{
    write(log_level::error, text);
}

void logger::write(log_level level, std::string_view text) const
{
    if (!enabled(level))
    {
        return;
    }
    report_drops_once_a_second();
    if (!limiter().allow_text(this_second()))
    {
        return;
    }
    if (!writes_json())
    {
        write_line(level, one_line(std::string(text)));
        return;
    }
    std::string members = "\"text\":";
    core::append_json_string(members, text);
    write_line(level, members);
}

void logger::write(core::event const& what) const
{
    auto const level = level_of(core::entry_of(what.code).severity);
    if (!enabled(level))
    {
        return;
    }
    report_drops_once_a_second();
    if (!limiter().allow(what.code, this_second()))
    {
        return;
    }
    write_line(level,
               writes_json() ? core::to_json_members(what)
                             : one_line(core::to_string(what)));
}

void logger::write_line(log_level level, std::string const& line) const
{
    auto& source = source_of_this_thread();
    if (auto record =
            source.open_record(boost::log::keywords::severity = level))
    {
        boost::log::record_ostream stream(record);
        if (writes_json())
        {
            stream << "\"part\":\"" << m_part << "\"," << line;
        }
        else
        {
            stream << m_part << ": " << line;
        }
        stream.flush();
        source.push_record(std::move(record));
    }
}

} // namespace turmericswitch::telemetry
