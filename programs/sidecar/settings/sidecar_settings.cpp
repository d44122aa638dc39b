#include "sidecar/settings/sidecar_settings.hpp"

#include "shared/peers/control_endpoints.hpp"

namespace turmericswitch::sidecar
{

namespace
{

worker_settings parse_worker_settings(settings::settings_reader& reader)
{
    worker_settings result;
    result.instance = core::instance_id(reader.text({"worker", "instance"}));
    result.registration = reader.endpoint({"worker", "registration"});
    result.runtime = reader.endpoint({"worker", "runtime"});
    return result;
}

} // namespace

sidecar_settings parse_sidecar_settings(settings::settings_reader& reader)
{
    using namespace std::chrono_literals;
    sidecar_settings result;
    result.process = shared::parse_process_settings(reader);
    result.control = shared::parse_control_endpoints(reader);
    if (reader.has({"worker", "instance"}))
    {
        result.worker = parse_worker_settings(reader);
        result.http = reader.endpoint({"sidecar", "http"});
        return result;
    }
    result.backend = core::backend_id(reader.text({"sidecar", "backend"}));
    result.service = core::service_id(reader.text({"sidecar", "service"}));
    result.zone = core::zone_id(reader.text({"sidecar", "zone"}));
    result.rpc = reader.endpoint({"sidecar", "rpc"});
    result.http = reader.endpoint({"sidecar", "http"});
    result.server = reader.endpoint({"sidecar", "server"});
    result.slots = reader.integer({"sidecar", "slots"}, {1, 256}, 8);
    result.connections =
        reader.integer({"sidecar", "connections"}, {1, 1024}, 60);
    result.drain_limit =
        reader.duration({"sidecar", "drain_limit"}, 30s, {0s, 1h});
    return result;
}

} // namespace turmericswitch::sidecar
