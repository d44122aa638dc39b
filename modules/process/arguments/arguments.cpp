#include "process/arguments/arguments.hpp"

#include "core/results/last_reason.hpp"

#include <docopt/docopt.h>

#include <algorithm>
#include <utility>

namespace turmericswitch::process
{

namespace
{

constexpr int usage_exit_status = 2;

arguments from_docopt(std::map<std::string, docopt::value> const& values)
{
    arguments parsed;
    for (auto const& [name, value] : values)
    {
        std::vector<std::string> texts;
        bool set = false;
        if (value.isBool())
        {
            set = value.asBool();
        }
        else if (value.isLong())
        {
            set = value.asLong() > 0;
        }
        else if (value.isString())
        {
            texts.push_back(value.asString());
        }
        else if (value.isStringList())
        {
            texts = value.asStringList();
        }
        parsed.add(name, set || !texts.empty(), std::move(texts));
    }
    return parsed;
}

arguments_result wrong_usage(std::string const& usage, std::string const& why)
{
    std::string const text =
        why.empty() ? "the command line matches no usage" : why;
    core::fail(core::result_code::usage, text);
    return {std::nullopt, text + "\n\n" + usage, usage_exit_status};
}

} // namespace

bool arguments::flag(std::string_view name) const
{
    argument const* const found = find(name);
    return found != nullptr && found->set;
}

std::optional<std::string> arguments::text(std::string_view name) const
{
    argument const* const found = find(name);
    return found == nullptr || found->values.empty()
               ? std::nullopt
               : std::optional(found->values.front());
}

std::vector<std::string> arguments::list(std::string_view name) const
{
    argument const* const found = find(name);
    return found == nullptr ? std::vector<std::string>() : found->values;
}

void arguments::add(std::string name, bool set, std::vector<std::string> values)
{
    m_arguments.push_back({std::move(name), set, std::move(values)});
}

arguments::argument const* arguments::find(std::string_view name) const
{
    auto const found =
        std::find_if(m_arguments.begin(),
                     m_arguments.end(),
                     [name](argument const& one) { return one.name == name; });
    return found == m_arguments.end() ? nullptr : &*found;
}

arguments_result parse_arguments(std::string const& usage,
                                 std::vector<std::string> const& words,
                                 std::string const& version)
{
    try
    {
        return {from_docopt(docopt::docopt_parse(usage, words)), "", 0};
    }
    catch (docopt::DocoptExitHelp const&)
    {
        return {std::nullopt, usage, 0};
    }
    catch (docopt::DocoptExitVersion const&)
    {
        return {std::nullopt, version + "\n", 0};
    }
    catch (docopt::DocoptArgumentError const& error)
    {
        return wrong_usage(usage, error.what());
    }
}

std::string daemon_usage(daemon_usage_text const& text)
{
    std::string modes;
    std::string mode_help;
    for (auto const& [name, help] : text.modes)
    {
        modes += (modes.empty() ? " [" : " | ") + name;
        mode_help += "  " + name + "\n      " + help + "\n";
    }
    modes += modes.empty() ? "" : "]";
    return text.program + " - " + text.purpose + "\n\nUsage:\n  " +
           text.program + " --config FILE" + modes + " [--check-config]\n  " +
           text.program + " --help\n  " + text.program +
           " --version\n\n"
           "Options:\n"
           "  --config FILE   Settings file (INI).\n"
           "  --check-config  Check the settings file and exit.\n" +
           mode_help +
           "  -h --help       Show this text.\n"
           "  --version       Show the version.\n";
}

arguments_result parse_daemon_arguments(daemon_usage_text const& text,
                                        std::vector<std::string> const& words,
                                        std::string const& version)
{
    return parse_arguments(
        daemon_usage(text), words, text.program + " " + version);
}

} // namespace turmericswitch::process
