#include "settings/ctl_settings.hpp"

#include "core/results/last_reason.hpp"
#include "settings/values/parse_value.hpp"

namespace turmericswitch::ctl
{

namespace
{

using namespace std::chrono_literals;

std::optional<ctl_settings> read_file(std::string const& path,
                                      std::string& problems)
{
    auto reader = settings::settings_reader::load(path);
    if (!reader)
    {
        problems = core::last_reason().text + '\n';
        return std::nullopt;
    }
    auto const read = parse_ctl_settings(*reader);
    if (reader->finish())
    {
        return read;
    }
    for (auto const& error : reader->errors())
    {
        problems += reader->to_string(error) + '\n';
    }
    return std::nullopt;
}

} // namespace

ctl_settings parse_ctl_settings(settings::settings_reader& reader)
{
    ctl_settings read;
    read.control = reader.endpoints({"ctl", "control"}, read.control);
    read.author = reader.text({"ctl", "author"}, read.author);
    read.timeout =
        reader.duration({"ctl", "timeout"}, read.timeout, {1s, 10min});
    return read;
}

std::optional<ctl_settings> load_settings(process::arguments const& arguments,
                                          std::string& problems)
{
    ctl_settings read;
    if (auto const path = arguments.text("--config"))
    {
        auto const file = read_file(*path, problems);
        if (!file)
        {
            return std::nullopt;
        }
        read = *file;
    }
    if (auto const text = arguments.text("--control"))
    {
        auto const control = settings::parse_endpoints(*text);
        if (!control || control->empty())
        {
            problems = "--control: expected numeric ip:port, several "
                       "separated by commas\n";
            return core::fail(core::result_code::usage, problems);
        }
        read.control = *control;
    }
    read.author = arguments.text("--author").value_or(read.author);
    return read;
}

} // namespace turmericswitch::ctl
