#ifndef TURMERICSWITCH_CORE_DECISIONS_DECISION_RECORD_HPP
#define TURMERICSWITCH_CORE_DECISIONS_DECISION_RECORD_HPP

#include "core/results/result_code.hpp"

#include <string>
#include <vector>

namespace turmericswitch::core
{

/// A choice that was weighed and not taken.
struct runner_up
{
    std::string name;
    std::string reason;

    bool operator==(runner_up const&) const = default;
};

/// What was decided about one request, task or instance, and why. The log
/// line and `turmericswitch-ctl explain` are both written from it.
struct decision_record
{
    /// Prefix of the part that decided, for example "placement".
    std::string part;
    /// What it was about, for example "job 17" or "request 3.88".
    std::string subject;
    /// What was decided, for example "place" or "refuse".
    std::string action;
    /// Where to, or empty.
    std::string target;
    result_code code = result_code::ok;
    std::vector<std::string> reasons;
    std::vector<runner_up> runners_up;

    bool operator==(decision_record const&) const = default;
};

/// @return One line: subject, action, target, code, reasons, runners-up.
std::string to_string(decision_record const& record);

} // namespace turmericswitch::core

#endif
