#include "telemetry/log/logger.hpp"

#include "telemetry/log/log_state.hpp"

#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>

#include <algorithm>
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

} // namespace

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
    auto& source = source_of_this_thread();
    if (auto record =
            source.open_record(boost::log::keywords::severity = level))
    {
        boost::log::record_ostream stream(record);
        stream << m_part << ": " << one_line(std::string(text));
        stream.flush();
        source.push_record(std::move(record));
    }
}

} // namespace turmericswitch::telemetry
