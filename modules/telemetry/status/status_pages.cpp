#include "telemetry/status/status_pages.hpp"

#include <utility>

namespace turmericswitch::telemetry
{

status_pages::status_pages(metrics_registry const& registry,
                           readiness_hook readiness)
    : m_registry(registry), m_readiness(std::move(readiness))
{
}

std::optional<status_page> status_pages::get(std::string_view path) const
{
    if (path == "/metrics")
    {
        return status_page{200, "text/plain; version=0.0.4", m_registry.text()};
    }
    if (path == "/healthz")
    {
        return status_page{200, "text/plain", "ok\n"};
    }
    if (path == "/readyz")
    {
        std::string const reason = m_readiness();
        return reason.empty() ? status_page{200, "text/plain", "ready\n"}
                              : status_page{503, "text/plain", reason + "\n"};
    }
    return std::nullopt;
}

} // namespace turmericswitch::telemetry
