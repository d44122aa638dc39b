#include "core/decisions/decision_record.hpp"

namespace turmericswitch::core
{

namespace
{

void append_reasons(std::string& line, decision_record const& record)
{
    char const* separator = " because ";
    for (auto const& reason : record.reasons)
    {
        line += separator + reason;
        separator = ", ";
    }
}

void append_runners_up(std::string& line, decision_record const& record)
{
    char const* separator = "; not ";
    for (auto const& [name, reason] : record.runners_up)
    {
        line += separator + name + " (" + reason + ")";
        separator = ", ";
    }
}

} // namespace

std::string to_string(decision_record const& record)
{
    std::string line = record.subject + ": " + record.action;
    if (!record.target.empty())
    {
        line += " " + record.target;
    }
    if (record.code != result_code::ok)
    {
        line += " [";
        line += std::to_string(static_cast<unsigned>(record.code));
        line += " ";
        line += to_string(record.code);
        line += "]";
    }
    append_reasons(line, record);
    append_runners_up(line, record);
    return line;
}

} // namespace turmericswitch::core
