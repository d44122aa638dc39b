#include "routing/flow/open_attempt.hpp"

namespace turmericswitch::routing
{

namespace
{

constexpr std::uint16_t first_server_error = 500;

} // namespace

open_attempt::~open_attempt()
{
    close();
}

void open_attempt::open(backend_target const& target, bool crosses_region)
{
    close();
    load = target.load;
    outlier = target.outlier;
    backend = target.entry.backend;
    sidecar = target.entry.sidecar;
    id.sidecar = target.entry.sidecar_incarnation;
    is_cross_region = crosses_region;
    m_open = true;
}

void open_attempt::close() noexcept
{
    if (m_open)
    {
        load->release();
        m_open = false;
    }
}

bool open_attempt::record_status(core::time_point now,
                                 std::uint16_t status) noexcept
{
    if (status >= first_server_error)
    {
        outlier->failed(now);
        return false;
    }
    outlier->succeeded();
    load->record_latency(now - sent_at);
    return true;
}

void open_attempt::record_overtaken(core::time_point now) noexcept
{
    // A stalled or silently partitioned backend server would otherwise stay
    // preferred: its attempts are dropped here before they fail.
    outlier->failed(now);
    load->record_latency(now - sent_at);
}

void open_attempt::record_stale_route(core::time_point now,
                                      core::revision sidecar_revision,
                                      flow_options const& options) noexcept
{
    if (options.use_revision_hints && sidecar_revision > service_revision)
    {
        load->exclude_until_revision(sidecar_revision);
        return;
    }
    load->exclude_until(now + options.stale_route_pause);
}

} // namespace turmericswitch::routing
