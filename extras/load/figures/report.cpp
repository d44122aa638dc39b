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

bool is_broken(figure const& one)
{
    return one.must_be_zero && one.value != 0;
}

} // namespace

bool is_good(report const& measured)
{
    return measured.problems.empty() && std::none_of(measured.figures.begin(),
                                                     measured.figures.end(),
                                                     is_broken);
}

std::string to_table(report const& measured)
{
    std::ostringstream out;
    out << std::fixed;
    for (auto const& one : measured.figures)
    {
        bool const is_whole =
            one.value == static_cast<double>(static_cast<long>(one.value));
        out << std::left << std::setw(name_width) << one.name << std::right
            << std::setw(value_width) << std::setprecision(is_whole ? 0 : 3)
            << one.value
            << (is_broken(one)     ? "  BROKEN, must be 0"
                : one.must_be_zero ? "  ok, must be 0"
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
    for (auto const& one : measured.figures)
    {
        figures[one.name] = one.value;
        if (is_broken(one))
        {
            broken.push_back(one.name);
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
