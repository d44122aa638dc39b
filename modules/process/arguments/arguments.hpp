#ifndef TURMERICSWITCH_PROCESS_ARGUMENTS_ARGUMENTS_HPP
#define TURMERICSWITCH_PROCESS_ARGUMENTS_ARGUMENTS_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::process
{

/// The parsed command line of a program.
///
/// Use parse_arguments() with a docopt text, or parse_daemon_arguments() for
/// the options that all daemons share.
class arguments
{
public:
    /// @param name As in the usage, for example "--check" or "<zone>".
    /// @return True if a flag or command was given.
    bool flag(std::string_view name) const;

    /// @return The value of an option or argument, or nothing if not given.
    std::optional<std::string> text(std::string_view name) const;

    /// @return The values of an argument that may be repeated.
    std::vector<std::string> list(std::string_view name) const;

    void add(std::string name, bool set, std::vector<std::string> values);

private:
    struct argument
    {
        std::string name;
        bool set = false;
        std::vector<std::string> values;
    };

    argument const* find(std::string_view name) const;

    std::vector<argument> m_arguments;
};

/// The parsed command line, or what to print and how to exit.
struct arguments_result
{
    std::optional<arguments> parsed;
    /// For the standard output if exit_status is 0, else for standard error.
    std::string message;
    int exit_status = 0;
};

/// @param usage Text in docopt's form; it should have --help and --version.
/// @param words The command line without the name of the program.
/// @param version Printed for --version.
/// @return Exit status 2 and the code usage for a wrong command line.
arguments_result parse_arguments(std::string const& usage,
                                 std::vector<std::string> const& words,
                                 std::string const& version);

/// A flag that changes how a daemon starts.
struct daemon_mode
{
    /// With dashes, for example "--join".
    std::string name;
    /// One line for --help.
    std::string help;
};

/// What the help text of a daemon says.
struct daemon_usage_text
{
    std::string program;
    /// One sentence.
    std::string purpose;
    /// At most one of them may be given.
    std::vector<daemon_mode> modes;
};

/// @return A docopt text with --help, --version, --config FILE,
/// --check-config and the modes.
std::string daemon_usage(daemon_usage_text const& text);

/// Parses the command line of a daemon.
arguments_result parse_daemon_arguments(daemon_usage_text const& text,
                                        std::vector<std::string> const& words,
                                        std::string const& version);

} // namespace turmericswitch::process

#endif
