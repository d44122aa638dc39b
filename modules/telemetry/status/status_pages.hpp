#ifndef TURMERICSWITCH_TELEMETRY_STATUS_STATUS_PAGES_HPP
#define TURMERICSWITCH_TELEMETRY_STATUS_STATUS_PAGES_HPP

#include "telemetry/metrics/metrics_registry.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace turmericswitch::telemetry
{

/// Content of one status page.
struct status_page
{
    std::uint16_t status = 200;
    std::string content_type;
    std::string body;
};

/// @return An empty text when the process is ready, else the reason.
using readiness_hook = std::function<std::string()>;

/// Serves /metrics, /healthz and /readyz independently of the HTTP library.
class status_pages
{
public:
    /// @param registry Must outlive this object.
    /// @param readiness Called by several threads.
    status_pages(metrics_registry const& registry, readiness_hook readiness);

    /// @param path Without a query.
    /// @return The page, or nothing for another path.
    std::optional<status_page> get(std::string_view path) const;

private:
    metrics_registry const& m_registry;
    readiness_hook m_readiness;
};

} // namespace turmericswitch::telemetry

#endif
