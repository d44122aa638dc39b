#include "load/figures/report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace turmericswitch::load
{

namespace
{

constexpr int name_width = 34;
constexpr int value_width = 14;

bool is_violated(figure const& entry)
{
    return entry.must_be_zero && entry.value != 0;
}

} // namespace

bool has_passed(report const& measured)
{
    return measured.problems.empty() && std::none_of(measured.figures.begin(),
                                                     measured.figures.end(),
                                                     is_violated);
}

std::string to_table(report const& measured)
{
    std::ostringstream out;
    out << std::fixed;
    for (auto const& entry : measured.figures)
    {
        bool const is_whole =
            entry.value == static_cast<double>(static_cast<long>(entry.value));
        out << std::left << std::setw(name_width) << entry.name << std::right
            << std::setw(value_width) << std::setprecision(is_whole ? 0 : 3)
            << entry.value
            << (is_violated(entry)   ? "  BROKEN, must be 0"
                : entry.must_be_zero ? "  ok, must be 0"
                                     : "")
            << '\n';
    }
    for (auto const& problem : measured.problems)
    {
        out << "PROBLEM " << problem << '\n';
    }
    for (auto const& note : measured.notes)
    {
        out << "NOTE " << note << '\n';
    }
    return out.str();
}

std::string to_json(report const& measured)
{
    auto figures = nlohmann::ordered_json::object();
    auto broken = nlohmann::ordered_json::array();
    for (auto const& entry : measured.figures)
    {
        figures[entry.name] = entry.value;
        if (is_violated(entry))
        {
            broken.push_back(entry.name);
        }
    }
    nlohmann::ordered_json document;
    document["figures"] = std::move(figures);
    document["broken"] = std::move(broken);
    document["problems"] = measured.problems;
    document["notes"] = measured.notes;
    return document.dump(2) + "\n";
}

} // namespace turmericswitch::load
