#ifndef TURMERICSWITCH_LOAD_FIGURES_REPORT_HPP
#define TURMERICSWITCH_LOAD_FIGURES_REPORT_HPP

#include <string>
#include <vector>

namespace turmericswitch::load
{

/// One measured value.
struct figure
{
    /// Ends with the unit, if it has one, for example `latency_p99_ms`.
    std::string name;
    double value = 0;
    /// The system guarantees 0; any other value is a fault.
    bool must_be_zero = false;
};

/// Measurements of one run.
struct report
{
    std::vector<figure> figures;
    /// Why guarantees could not be checked.
    std::vector<std::string> problems;
    /// Figures that are missing and that no guarantee depends on.
    std::vector<std::string> notes;
};

/// @return True if every guarantee was checked and holds.
bool has_passed(report const& measured);

/// @return One line per figure, with violated guarantees marked, then the
/// problems and notes.
std::string to_table(report const& measured);

/// @return {"figures":{name:value,...},"broken":[...],"problems":[...],
/// "notes":[...]}.
std::string to_json(report const& measured);

} // namespace turmericswitch::load

#endif
