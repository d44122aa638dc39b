#include "telemetry/log/logging.hpp"

#include "core/results/last_reason.hpp"
#include "telemetry/log/log_state.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time_types.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/expressions/formatters/date_time.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/block_on_overflow.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>

#include <fstream>
#include <iostream>
#include <utility>

namespace turmericswitch::telemetry
{

namespace
{

// At 2,000 decision lines per second this covers a disk stall of 4 s.
constexpr std::size_t queued_lines = 8192;

namespace expressions = boost::log::expressions;
namespace sinks = boost::log::sinks;

using backend_type = sinks::text_ostream_backend;
using sink_type = sinks::asynchronous_sink<
    backend_type,
    sinks::bounded_fifo_queue<queued_lines, sinks::block_on_overflow>>;

boost::shared_ptr<std::ostream> open_stream(std::string const& file)
{
    if (file.empty())
    {
        return {&std::cerr, boost::null_deleter()};
    }
    return boost::make_shared<std::ofstream>(file, std::ios::app);
}

void format(boost::log::record_view const& record,
            boost::log::formatting_ostream& stream)
{
    static auto const time =
        expressions::stream
        << expressions::format_date_time<boost::posix_time::ptime>(
               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ");
    time(record, stream);
    if (auto const level = boost::log::extract<log_level>("Severity", record))
    {
        stream << ' ' << to_string(*level);
    }
    stream << ' ' << record[expressions::smessage];
}

} // namespace

struct logging::state
{
    boost::shared_ptr<sink_type> sink;
};

std::unique_ptr<logging> logging::start(log_options const& options)
{
    auto const stream = open_stream(options.file);
    if (!*stream)
    {
        core::fail(core::result_code::io_failed,
                   options.file + ": can't be opened");
        return nullptr;
    }
    auto const backend = boost::make_shared<backend_type>();
    backend->add_stream(stream);
    backend->auto_flush(true);
    auto hidden = std::make_unique<state>();
    hidden->sink = boost::make_shared<sink_type>(backend);
    hidden->sink->set_formatter(&format);
    auto const core = boost::log::core::get();
    core->add_global_attribute("TimeStamp",
                               boost::log::attributes::utc_clock());
    core->add_sink(hidden->sink);
    lowest_level() = static_cast<int>(options.lowest);
    return std::unique_ptr<logging>(new logging(std::move(hidden)));
}

logging::logging(std::unique_ptr<state> hidden) : m_state(std::move(hidden)) {}

logging::~logging()
{
    lowest_level() = nothing_is_written;
    boost::log::core::get()->remove_sink(m_state->sink);
    m_state->sink->stop();
    m_state->sink->flush();
}

} // namespace turmericswitch::telemetry
