#include "shared/daemon/daemon_main.hpp"

#include "core/results/last_reason.hpp"
#include "telemetry/telemetry.hpp"

#include <iostream>

namespace turmericswitch::shared
{

namespace
{

telemetry::log_level parse_log_level(std::string const& name)
{
    using telemetry::log_level;
    for (auto const level :
         {log_level::debug, log_level::warning, log_level::error})
    {
        if (name == telemetry::to_string(level))
        {
            return level;
        }
    }
    return log_level::info;
}

int fail_with_last_reason()
{
    std::cerr << core::last_reason().text << '\n';
    return exit_status_of_last_reason();
}

using serve_hook =
    std::function<bool(process::arguments const&, process::shutdown_signal&)>;

int serve_with_logging(daemon_info const& info,
                       process::arguments const& given,
                       process_settings const& settings,
                       serve_hook const& serve)
{
    // Created before the first thread, so that all threads block the signals.
    process::shutdown_signal signal;
    auto const logging =
        telemetry::logging::start({parse_log_level(settings.log_level),
                                   settings.log_file,
                                   settings.log_format == "json"});
    if (!logging)
    {
        return fail_with_last_reason();
    }
    if (serve(given, signal))
    {
        return 0;
    }
    auto const status = exit_status_of_last_reason();
    telemetry::logger(info.log_part)
        .write({core::event_code::start_failed,
                {core::text_field("result",
                                  core::to_string(core::last_reason().code)),
                 core::text_field("why", core::last_reason().text)}});
    return status;
}

} // namespace

process_settings parse_process_settings(settings::settings_reader& reader)
{
    process_settings result;
    result.settings_file = reader.name();
    result.ports_file = reader.text({"process", "ports_file"}, "");
    result.log_level = reader.one_of({"process", "log_level"},
                                     {"debug", "info", "warning", "error"},
                                     "info");
    result.log_file = reader.text({"process", "log_file"}, "");
    result.log_format =
        reader.one_of({"process", "log_format"}, {"text", "json"}, "text");
    return result;
}

std::optional<settings::settings_reader>
reload_settings(std::string const& settings_file)
{
    telemetry::logger const log("settings");
    auto reader = settings::settings_reader::load(settings_file);
    if (!reader)
    {
        log.write({core::event_code::settings_rejected,
                   {core::text_field("file", settings_file),
                    core::text_field("why", core::last_reason().text)}});
        return std::nullopt;
    }
    log.write({core::event_code::settings_changed,
               {core::text_field("file", settings_file)}});
    return reader;
}

int exit_status_of_last_reason()
{
    constexpr int status_values = 256;
    return static_cast<int>(core::last_reason().code) % status_values;
}

bool publish_ports(process_settings const& settings,
                   std::vector<process::named_port> const& ports)
{
    return settings.ports_file.empty() ||
           process::write_ports_file(settings.ports_file, ports);
}

int run_daemon(daemon_info const& info,
               std::vector<std::string> const& words,
               std::function<void(settings::settings_reader&)> const& parse,
               serve_hook const& serve)
{
    auto const arguments =
        process::parse_daemon_arguments(info.usage, words, info.version);
    if (!arguments.parsed)
    {
        (arguments.exit_status == 0 ? std::cout : std::cerr)
            << arguments.message << '\n';
        return arguments.exit_status;
    }
    auto const& given = *arguments.parsed;
    auto reader = settings::settings_reader::load(*given.text("--config"));
    if (!reader)
    {
        return fail_with_last_reason();
    }
    auto const settings = parse_process_settings(*reader);
    parse(*reader);
    if (!reader->finish())
    {
        for (auto const& error : reader->errors())
        {
            std::cerr << reader->to_string(error) << '\n';
        }
        return exit_status_of_last_reason();
    }
    return given.flag("--check-config")
               ? 0
               : serve_with_logging(info, given, settings, serve);
}

} // namespace turmericswitch::shared
