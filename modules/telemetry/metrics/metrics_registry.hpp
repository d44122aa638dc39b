#ifndef TURMERICSWITCH_TELEMETRY_METRICS_METRICS_REGISTRY_HPP
#define TURMERICSWITCH_TELEMETRY_METRICS_METRICS_REGISTRY_HPP

#include "telemetry/metrics/counter.hpp"
#include "telemetry/metrics/gauge.hpp"
#include "telemetry/metrics/latency_metric.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace turmericswitch::telemetry
{

/// Distinguishes metrics of one name, for example by zone.
struct metric_label
{
    std::string name;
    std::string value;

    auto operator<=>(metric_label const&) const = default;
};

using metric_labels = std::vector<metric_label>;

/// One value of a family that a hook reads.
struct labelled_value
{
    metric_labels labels;
    double value = 0;
};

/// What Prometheus may assume about a value.
enum class metric_kind : std::uint8_t
{
    /// Only grows while the process lives.
    counter,
    gauge,
};

/// Reads a value when the metrics are printed; called under the lock of the
/// registry, so it must not call the registry.
using value_hook = std::function<double()>;

/// As `value_hook`, for all values of one name. Each value needs labels of its
/// own.
using family_hook = std::function<std::vector<labelled_value>()>;

/// Owns the metrics of a process and prints them for Prometheus.
///
/// Ask for a metric once and keep the reference, which lives as long as the
/// registry; the request path then touches no lock of the registry.
class metrics_registry
{
public:
    /// @param name Such as "requests_total"; the same name with other labels
    /// is another metric of the same kind.
    /// @param help One sentence; the first one given for a name is printed.
    /// @return The metric; the same one for the same name and labels.
    telemetry::counter& counter(std::string const& name,
                                std::string const& help,
                                metric_labels const& labels = {});

    telemetry::gauge& gauge(std::string const& name,
                            std::string const& help,
                            metric_labels const& labels = {});

    /// @param name Should end in "_seconds".
    latency_metric& latency(std::string const& name,
                            std::string const& help,
                            metric_labels const& labels = {});

    /// Adds a gauge whose value a hook reads. A second hook with the same
    /// name and labels replaces the first.
    void add_gauge_hook(std::string const& name,
                        std::string const& help,
                        value_hook hook,
                        metric_labels const& labels = {});

    /// As `add_gauge_hook`, for a value that only grows.
    void add_counter_hook(std::string const& name,
                          std::string const& help,
                          value_hook hook,
                          metric_labels const& labels = {});

    /// Adds a family whose members come and go, such as one value for each
    /// backend server. A second hook with the same name replaces the first;
    /// the name must not be used for another metric.
    void add_family_hook(std::string const& name,
                         std::string const& help,
                         metric_kind kind,
                         family_hook hook);

    /// @return All metrics in the Prometheus text format, sorted by name.
    std::string text() const;

private:
    struct hooked_value
    {
        metric_kind kind = metric_kind::gauge;
        value_hook read;
    };
    struct hooked_family
    {
        metric_kind kind = metric_kind::gauge;
        family_hook read;
    };
    using metric = std::variant<std::unique_ptr<telemetry::counter>,
                                std::unique_ptr<telemetry::gauge>,
                                std::unique_ptr<latency_metric>,
                                hooked_value>;

    struct family
    {
        std::string help;
        std::map<metric_labels, metric> metrics;
        /// Replaces `metrics` when set.
        std::optional<hooked_family> hook;
    };

    template <typename T>
    T& find_or_add(std::string const& name,
                   std::string const& help,
                   metric_labels const& labels);

    void add_hook(std::string const& name,
                  std::string const& help,
                  metric_labels const& labels,
                  hooked_value hook);

    static char const* kind_of(family const& one);
    static void
    print(std::string& out, std::string const& name, hooked_family const& hook);
    static void print(std::string& out,
                      std::string const& name,
                      metric_labels const& labels,
                      metric const& value);

    mutable std::mutex m_mutex;
    std::map<std::string, family> m_families;
};

} // namespace turmericswitch::telemetry

#endif
