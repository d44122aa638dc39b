#include "telemetry/metrics/metrics_registry.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cmath>
#include <utility>

namespace turmericswitch::telemetry
{

namespace
{

std::string number(double value)
{
    if (!std::isfinite(value))
    {
        return std::isnan(value) ? "NaN" : value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 32> digits{};
    auto const [end, error] =
        std::to_chars(digits.data(), digits.data() + digits.size(), value);
    return {digits.data(), end};
}

std::string escaped(std::string const& text, bool quotes)
{
    std::string out;
    for (char const c : text)
    {
        if (c == '\n')
        {
            out += "\\n";
            continue;
        }
        if (c == '\\' || (quotes && c == '"'))
        {
            out += '\\';
        }
        out += c;
    }
    return out;
}

std::string label_text(metric_labels const& labels)
{
    std::string out;
    for (auto const& [name, value] : labels)
    {
        out += out.empty() ? "{" : ",";
        out.append(name).append("=\"").append(escaped(value, true));
        out += '"';
    }
    return out.empty() ? out : out + "}";
}

void print_line(std::string& out,
                std::string const& name,
                metric_labels const& labels,
                std::string const& value)
{
    out.append(name).append(label_text(labels)).append(" ").append(value);
    out += '\n';
}

void print_latency(std::string& out,
                   std::string const& name,
                   metric_labels const& labels,
                   latency_summary const& summary)
{
    for (std::size_t i = 0; i < summary.quantiles.size(); ++i)
    {
        auto with_quantile = labels;
        with_quantile.push_back({"quantile", number(latency_quantiles[i])});
        print_line(out, name, with_quantile, number(summary.quantiles[i]));
    }
    print_line(out, name + "_sum", labels, number(summary.sum));
    print_line(out, name + "_count", labels, std::to_string(summary.count));
}

// The kinds in the order of the metric variant, without hooks.
constexpr std::array kind_names = {"counter", "gauge", "summary"};

char const* to_string(metric_kind kind)
{
    return kind == metric_kind::counter ? "counter" : "gauge";
}

} // namespace

template <typename T>
T& metrics_registry::find_or_add(std::string const& name,
                                 std::string const& help,
                                 metric_labels const& labels)
{
    std::lock_guard const lock(m_mutex);
    auto& one = m_families[name];
    assert(!one.hook && "one name has one kind");
    auto& metrics = one.metrics;
    if (metrics.empty())
    {
        one.help = help;
    }
    auto const found = metrics.find(labels);
    if (found == metrics.end())
    {
        auto made = std::make_unique<T>();
        T& made_metric = *made;
        metrics.emplace(labels, std::move(made));
        assert(metrics.begin()->second.index() ==
                   metrics.rbegin()->second.index() &&
               "one name has one kind");
        return made_metric;
    }
    auto* const same = std::get_if<std::unique_ptr<T>>(&found->second);
    assert(same != nullptr && "one name has one kind");
    return **same;
}

counter& metrics_registry::counter(std::string const& name,
                                   std::string const& help,
                                   metric_labels const& labels)
{
    return find_or_add<telemetry::counter>(name, help, labels);
}

gauge& metrics_registry::gauge(std::string const& name,
                               std::string const& help,
                               metric_labels const& labels)
{
    return find_or_add<telemetry::gauge>(name, help, labels);
}

latency_metric& metrics_registry::latency(std::string const& name,
                                          std::string const& help,
                                          metric_labels const& labels)
{
    return find_or_add<latency_metric>(name, help, labels);
}

void metrics_registry::add_gauge_hook(std::string const& name,
                                      std::string const& help,
                                      value_hook hook,
                                      metric_labels const& labels)
{
    add_hook(name, help, labels, {metric_kind::gauge, std::move(hook)});
}

void metrics_registry::add_counter_hook(std::string const& name,
                                        std::string const& help,
                                        value_hook hook,
                                        metric_labels const& labels)
{
    add_hook(name, help, labels, {metric_kind::counter, std::move(hook)});
}

void metrics_registry::add_family_hook(std::string const& name,
                                       std::string const& help,
                                       metric_kind kind,
                                       family_hook hook)
{
    std::lock_guard const lock(m_mutex);
    auto& one = m_families[name];
    assert(one.metrics.empty() && "the name is used for another metric");
    one.help = help;
    one.hook = hooked_family{kind, std::move(hook)};
}

void metrics_registry::add_hook(std::string const& name,
                                std::string const& help,
                                metric_labels const& labels,
                                hooked_value hook)
{
    std::lock_guard const lock(m_mutex);
    auto& one = m_families[name];
    if (one.metrics.empty())
    {
        one.help = help;
    }
    one.metrics.insert_or_assign(labels, std::move(hook));
}

char const* metrics_registry::kind_of(family const& one)
{
    if (one.hook)
    {
        return to_string(one.hook->kind);
    }
    auto const& first = one.metrics.begin()->second;
    auto const* const hooked = std::get_if<hooked_value>(&first);
    return hooked != nullptr ? to_string(hooked->kind)
                             : kind_names[first.index()];
}

void metrics_registry::print(std::string& out,
                             std::string const& name,
                             hooked_family const& hook)
{
    auto values = hook.read();
    std::sort(values.begin(),
              values.end(),
              [](labelled_value const& a, labelled_value const& b)
              { return a.labels < b.labels; });
    for (auto const& [labels, value] : values)
    {
        print_line(out, name, labels, number(value));
    }
}

void metrics_registry::print(std::string& out,
                             std::string const& name,
                             metric_labels const& labels,
                             metric const& value)
{
    if (auto const* const count =
            std::get_if<std::unique_ptr<telemetry::counter>>(&value))
    {
        print_line(out, name, labels, std::to_string((*count)->value()));
    }
    else if (auto const* const level =
                 std::get_if<std::unique_ptr<telemetry::gauge>>(&value))
    {
        print_line(out, name, labels, std::to_string((*level)->value()));
    }
    else if (auto const* const times =
                 std::get_if<std::unique_ptr<latency_metric>>(&value))
    {
        print_latency(out, name, labels, (*times)->summary());
    }
    else
    {
        print_line(
            out, name, labels, number(std::get<hooked_value>(value).read()));
    }
}

std::string metrics_registry::text() const
{
    std::lock_guard const lock(m_mutex);
    std::string out;
    for (auto const& [name, one] : m_families)
    {
        out += "# HELP " + name + " " + escaped(one.help, false) + "\n";
        out += "# TYPE " + name + " " + kind_of(one) + "\n";
        if (one.hook)
        {
            print(out, name, *one.hook);
        }
        for (auto const& [labels, value] : one.metrics)
        {
            print(out, name, labels, value);
        }
    }
    return out;
}

} // namespace turmericswitch::telemetry
