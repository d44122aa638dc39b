#include "load/run/daemon_usage.hpp"

#include "core/results/last_reason.hpp"

#include <fstream>
#include <sstream>

#include <unistd.h>

namespace turmericswitch::load
{

namespace
{

std::string read_all(std::string const& path)
{
    std::ifstream const in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

std::optional<std::uint64_t> cpu_ticks(std::string const& text)
{
    // The process name, in parentheses, may itself contain spaces and
    // parentheses, so fields are counted from the last one.
    auto const name_end = text.rfind(')');
    if (name_end == std::string::npos)
    {
        return std::nullopt;
    }
    constexpr int fields_before_times = 11;
    std::istringstream fields(text.substr(name_end + 1));
    std::string skipped;
    for (int i = 0; i < fields_before_times; ++i)
    {
        fields >> skipped;
    }
    std::uint64_t user = 0;
    std::uint64_t system = 0;
    fields >> user >> system;
    return fields ? std::optional(user + system) : std::nullopt;
}

std::optional<std::uint64_t> resident_kib(std::string const& text)
{
    constexpr std::string_view key = "VmRSS:";
    auto const found = text.find(key);
    if (found == std::string::npos)
    {
        return std::nullopt;
    }
    std::istringstream rest(text.substr(found + key.size()));
    std::uint64_t amount = 0;
    rest >> amount;
    return rest ? std::optional(amount) : std::nullopt;
}

std::optional<daemon_usage> read_usage(std::int64_t pid)
{
    std::string const folder = "/proc/" + std::to_string(pid);
    auto const ticks = cpu_ticks(read_all(folder + "/stat"));
    auto const memory = resident_kib(read_all(folder + "/status"));
    if (!ticks || !memory)
    {
        return core::fail(core::result_code::io_failed,
                          folder + ": no such process");
    }
    constexpr double kib_per_mib = 1024;
    return daemon_usage{static_cast<double>(*ticks) /
                            static_cast<double>(sysconf(_SC_CLK_TCK)),
                        static_cast<double>(*memory) / kib_per_mib};
}

} // namespace turmericswitch::load
