#include "shared/daemon/status_handler.hpp"

#include <memory>
#include <utility>

namespace turmericswitch::shared
{

web::http_handler with_status_pages(telemetry::metrics_registry const& registry,
                                    telemetry::readiness_hook readiness,
                                    web::http_handler next)
{
    auto const pages = std::make_shared<telemetry::status_pages>(
        registry, std::move(readiness));
    return [pages, next = std::move(next)](web::http_request const& request)
    {
        auto const page = pages->get(request.target);
        if (!page)
        {
            return next(request);
        }
        auto response = web::text_response(page->body, page->content_type);
        response.status = page->status;
        return response;
    };
}

} // namespace turmericswitch::shared
