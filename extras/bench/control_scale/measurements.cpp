#include "control_scale/measurements.hpp"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace turmericswitch::bench
{

namespace
{

constexpr double kib_per_mib = 1024;

// Parses after the last parenthesis, because the second field of stat is the
// program name in parentheses and may contain spaces.
double cpu_seconds(std::string const& folder)
{
    std::ifstream file(folder + "stat");
    std::string text;
    std::getline(file, text);
    auto const end = text.rfind(')');
    if (end == std::string::npos)
    {
        return 0;
    }
    std::istringstream fields(text.substr(end + 1));
    constexpr int fields_before_times = 11;
    std::string skipped;
    for (int i = 0; i < fields_before_times; ++i)
    {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace

void latency_samples::add(core::duration value)
{
    std::lock_guard const lock(m_mutex);
    m_values.push_back(value);
}

void latency_samples::clear()
{
    std::lock_guard const lock(m_mutex);
    m_values.clear();
}

std::size_t latency_samples::size() const
{
    std::lock_guard const lock(m_mutex);
    return m_values.size();
}

double latency_samples::quantile_ms(double fraction) const
{
    std::lock_guard const lock(m_mutex);
    if (m_values.empty())
    {
        return 0;
    }
    auto sorted = m_values;
    std::sort(sorted.begin(), sorted.end());
    auto const last = static_cast<double>(sorted.size() - 1);
    auto const value = sorted[static_cast<std::size_t>(fraction * last)];
    return std::chrono::duration<double, std::milli>(value).count();
}

process_sample sample_process(long pid)
{
    auto const folder = "/proc/" + std::to_string(pid) + "/";
    process_sample sample;
    sample.cpu_seconds = cpu_seconds(folder);
    std::ifstream status(folder + "status");
    std::string word;
    while (status >> word)
    {
        if (word == "VmRSS:")
        {
            status >> sample.resident_mib;
        }
        else if (word == "VmHWM:")
        {
            status >> sample.peak_mib;
        }
    }
    sample.resident_mib /= kib_per_mib;
    sample.peak_mib /= kib_per_mib;
    return sample;
}

} // namespace turmericswitch::bench
