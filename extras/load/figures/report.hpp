#ifndef TURMERICSWITCH_LOAD_FIGURES_REPORT_HPP
#define TURMERICSWITCH_LOAD_FIGURES_REPORT_HPP

#include <string>
#include <vector>

namespace turmericswitch::load
{

/// One measured value.
struct figure
{
    /// With the unit as last word, for example `latency_p99_ms`.
    std::string name;
    double value = 0;
    /// A promise of the system; any other value is a fault.
    bool must_be_zero = false;
};

/// Everything that one run measured.
struct report
{
    std::vector<figure> figures;
    /// Promises that could not be checked.
    std::vector<std::string> problems;
    /// Figures left out that no promise depends on.
    std::vector<std::string> notes;
};

/// @return True if every promise was checked and kept.
bool is_good(report const& measured);

/// @return One line per figure, with a mark at broken promises.
std::string to_table(report const& measured);

/// @return {"figures":{name:value,...},"broken":[...],"problems":[...],
/// "notes":[...]}.
std::string to_json(report const& measured);

} // namespace turmericswitch::load

#endif
