#include "telemetry/log/logging.hpp"

#include "core/results/last_reason.hpp"
#include "telemetry/log/line_writer.hpp"
#include "telemetry/log/log_state.hpp"

#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions/message.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/make_shared.hpp>

#include <array>
#include <ctime>
#include <fstream>
#include <iostream>
#include <string_view>
#include <utility>

namespace turmericswitch::telemetry
{

namespace
{

namespace sinks = boost::log::sinks;

std::shared_ptr<std::ostream> open_stream(log_options const& options)
{
    if (options.file.empty())
    {
        return {options.json ? &std::cout : &std::cerr, [](std::ostream*) {}};
    }
    return std::make_shared<std::ofstream>(options.file, std::ios::app);
}

/// Appends the time of day in UTC with microseconds.
void append_time(std::string& line)
{
    std::timespec now{};
    std::timespec_get(&now, TIME_UTC);
    // Calendar arithmetic is needed only once a second.
    thread_local std::time_t known_second = -1;
    thread_local std::array<char, 32> known{};
    if (now.tv_sec != known_second)
    {
        std::tm parts{};
        gmtime_r(&now.tv_sec, &parts);
        std::strftime(known.data(), known.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
        known_second = now.tv_sec;
    }
    auto const fraction = std::to_string(1'000'000 + now.tv_nsec / 1000);
    line.append(known.data()).append(fraction, 1).push_back('Z');
}

/// Formats on the calling thread and leaves the write to a `line_writer`.
class line_backend : public sinks::basic_sink_backend<sinks::concurrent_feeding>
{
public:
    line_backend(std::shared_ptr<std::ostream> stream, bool json)
        : m_json(json), m_writer(std::move(stream))
    {
    }

    void consume(boost::log::record_view const& record)
    {
        thread_local std::string line;
        line.clear();
        auto const level = boost::log::extract<log_level>("Severity", record);
        auto const text = boost::log::extract<std::string>("Message", record);
        char const* const name = level ? to_string(*level) : "";
        std::string_view const message =
            text ? std::string_view(*text) : std::string_view();
        if (m_json)
        {
            line.append("{\"time\":\"");
            append_time(line);
            line.append("\",\"level\":\"").append(name).append("\",");
            line.append(message).push_back('}');
        }
        else
        {
            append_time(line);
            line.append(1, ' ').append(name).append(1, ' ').append(message);
        }
        if (!m_writer.add(line, level && *level >= log_level::warning))
        {
            limiter().dropped_by_buffer();
        }
    }

private:
    bool m_json;
    line_writer m_writer;
};

using sink_type = sinks::unlocked_sink<line_backend>;

} // namespace

struct logging::state
{
    boost::shared_ptr<sink_type> sink;
};

std::unique_ptr<logging> logging::start(log_options const& options)
{
    auto const stream = open_stream(options);
    if (!*stream)
    {
        core::fail(core::result_code::io_failed,
                   options.file + ": can't be opened");
        return nullptr;
    }
    auto hidden = std::make_unique<state>();
    hidden->sink = boost::make_shared<sink_type>(
        boost::make_shared<line_backend>(stream, options.json));
    boost::log::core::get()->add_sink(hidden->sink);
    writes_json() = options.json;
    limiter().set_limit(options.most_per_second);
    lowest_level() = static_cast<int>(options.lowest);
    return std::unique_ptr<logging>(new logging(std::move(hidden)));
}

logging::logging(std::unique_ptr<state> hidden) : m_state(std::move(hidden)) {}

logging::~logging()
{
    report_dropped_lines();
    lowest_level() = nothing_is_written;
    boost::log::core::get()->remove_sink(m_state->sink);
}

} // namespace turmericswitch::telemetry
