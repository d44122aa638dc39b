#include "core/results/last_reason.hpp"
#include "load/figures/comparison.hpp"
#include "load/run/free_ports.hpp"
#include "load/run/load_run.hpp"
#include "process/arguments/arguments.hpp"
#include "settings/values/parse_value.hpp"

#include <fstream>
#include <iostream>

namespace turmericswitch::load
{

namespace
{

constexpr auto usage =
    R"(turmericswitch-load - sends requests and jobs at fixed times and measures.

Usage:
  turmericswitch-load --config FILE [--json FILE] [--check-config]
  turmericswitch-load --compare [--rounds N] [--json FILE] <a> <b>
  turmericswitch-load --free-ports N
  turmericswitch-load --help
  turmericswitch-load --version

Options:
  --config FILE   Scenario (INI).
  --check-config  Check the scenario and exit.
  --json FILE     Also write the figures as JSON.
  --compare       Run scenarios a and b in turn and print the ratios b/a.
  --rounds N      Rounds of a comparison [default: 5].
  --free-ports N  Print N free TCP ports of 127.0.0.1.
  --help          Show this text.
  --version       Show the version.

The exit status is 1 if a figure that must be 0 is not, or was not checked.
)";

constexpr int failed_status = 1;
constexpr int usage_status = 2;
constexpr std::int64_t max_count = 1000;

int fail_with_last_reason()
{
    std::cerr << core::last_reason().text << '\n';
    return usage_status;
}

std::optional<std::size_t> parse_count(process::arguments const& given,
                                       char const* name)
{
    auto const number = settings::parse_integer(given.text(name).value_or(""));
    if (!number || *number < 1 || *number > max_count)
    {
        return core::fail(core::result_code::usage,
                          std::string(name) + " needs a number from 1 to " +
                              std::to_string(max_count));
    }
    return static_cast<std::size_t>(*number);
}

bool write_json(process::arguments const& given, std::string const& text)
{
    auto const path = given.text("--json");
    if (!path)
    {
        return true;
    }
    std::ofstream out(*path);
    out << text << std::flush;
    return out.good() || core::fail_bool(core::result_code::io_failed,
                                         *path + ": can't write");
}

int print_ports(process::arguments const& given)
{
    auto const count = parse_count(given, "--free-ports");
    auto const ports = count ? free_ports(*count) : std::nullopt;
    if (!ports)
    {
        return fail_with_last_reason();
    }
    for (auto const port : *ports)
    {
        std::cout << port << '\n';
    }
    return 0;
}

report run_and_print(char const* name, scenario const& settings)
{
    auto measured = run_scenario(settings, unique_tag());
    std::cout << name << '\n' << to_table(measured) << std::endl;
    return measured;
}

int run_comparison(process::arguments const& given)
{
    auto const a = load_scenario(*given.text("<a>"));
    auto const b = a ? load_scenario(*given.text("<b>")) : std::nullopt;
    auto const count = b ? parse_count(given, "--rounds") : std::nullopt;
    if (!count)
    {
        return fail_with_last_reason();
    }
    std::vector<compared_round> rounds(*count);
    bool all_passed = true;
    for (std::size_t i = 0; i < rounds.size(); ++i)
    {
        auto& round = rounds[i];
        // The order alternates, so that warm-up effects favour neither.
        bool const a_first = i % 2 == 0;
        (a_first ? round.a : round.b) =
            run_and_print(a_first ? "A" : "B", a_first ? *a : *b);
        (a_first ? round.b : round.a) =
            run_and_print(a_first ? "B" : "A", a_first ? *b : *a);
        all_passed = all_passed && has_passed(round.a) && has_passed(round.b);
    }
    auto const ratios = compare(rounds);
    std::cout << to_table(ratios);
    if (!write_json(given, to_json(ratios)))
    {
        return fail_with_last_reason();
    }
    return all_passed ? 0 : failed_status;
}

int run_one(process::arguments const& given)
{
    auto const settings = load_scenario(*given.text("--config"));
    if (!settings)
    {
        return fail_with_last_reason();
    }
    if (given.flag("--check-config"))
    {
        return 0;
    }
    auto const measured = run_scenario(*settings, unique_tag());
    std::cout << to_table(measured);
    if (!write_json(given, to_json(measured)))
    {
        return fail_with_last_reason();
    }
    return has_passed(measured) ? 0 : failed_status;
}

int run_program(std::vector<std::string> const& words)
{
    auto const result = process::parse_arguments(
        usage,
        words,
        std::string("turmericswitch-load ") + TURMERICSWITCH_VERSION);
    if (!result.parsed)
    {
        (result.exit_status == 0 ? std::cout : std::cerr) << result.message;
        return result.exit_status;
    }
    if (result.parsed->text("--free-ports"))
    {
        return print_ports(*result.parsed);
    }
    return result.parsed->flag("--compare") ? run_comparison(*result.parsed)
                                            : run_one(*result.parsed);
}

} // namespace

} // namespace turmericswitch::load

int main(int argc, char** argv)
{
    return turmericswitch::load::run_program({argv + 1, argv + argc});
}
