#include "load/figures/comparison.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace turmericswitch::load
{

namespace
{

figure const* find_figure(report const& measured, std::string const& name)
{
    auto const found = std::find_if(measured.figures.begin(),
                                    measured.figures.end(),
                                    [&name](figure const& entry)
                                    { return entry.name == name; });
    return found == measured.figures.end() ? nullptr : &*found;
}

figure_ratio summarize_ratios(std::string const& name,
                              std::vector<double> values)
{
    if (values.empty())
    {
        return {name, 0, 0, 0, 0};
    }
    std::sort(values.begin(), values.end());
    auto const middle = values.size() / 2;
    double const median = values.size() % 2 == 1
                              ? values[middle]
                              : (values[middle - 1] + values[middle]) / 2;
    return {name, values.size(), values.front(), median, values.back()};
}

} // namespace

std::vector<figure_ratio> compare(std::vector<compared_round> const& rounds)
{
    std::vector<figure_ratio> ratios;
    if (rounds.empty())
    {
        return ratios;
    }
    for (auto const& entry : rounds.front().a.figures)
    {
        std::vector<double> values;
        for (auto const& round : rounds)
        {
            auto const* const a = find_figure(round.a, entry.name);
            auto const* const b = find_figure(round.b, entry.name);
            if (a != nullptr && b != nullptr && a->value != 0)
            {
                values.push_back(b->value / a->value);
            }
        }
        ratios.push_back(summarize_ratios(entry.name, std::move(values)));
    }
    return ratios;
}

std::string to_table(std::vector<figure_ratio> const& ratios)
{
    constexpr int name_width = 34;
    constexpr int value_width = 10;
    std::ostringstream out;
    out << std::fixed << std::setprecision(3) << std::left
        << std::setw(name_width) << "B/A" << std::right
        << std::setw(value_width) << "median" << std::setw(value_width)
        << "lowest" << std::setw(value_width) << "highest"
        << std::setw(value_width) << "rounds" << '\n';
    for (auto const& ratio : ratios)
    {
        out << std::left << std::setw(name_width) << ratio.name << std::right;
        if (ratio.rounds == 0)
        {
            out << std::setw(value_width) << "-" << '\n';
            continue;
        }
        out << std::setw(value_width) << ratio.median << std::setw(value_width)
            << ratio.lowest << std::setw(value_width) << ratio.highest
            << std::setw(value_width) << ratio.rounds << '\n';
    }
    return out.str();
}

std::string to_json(std::vector<figure_ratio> const& ratios)
{
    nlohmann::ordered_json rows = nlohmann::ordered_json::object();
    for (auto const& ratio : ratios)
    {
        rows[ratio.name] = {{"rounds", ratio.rounds},
                            {"lowest", ratio.lowest},
                            {"median", ratio.median},
                            {"highest", ratio.highest}};
    }
    nlohmann::ordered_json document;
    document["ratios"] = std::move(rows);
    return document.dump(2) + "\n";
}

} // namespace turmericswitch::load
