#include "sidecar/settings/sidecar_settings.hpp"

#include "shared/peers/control_endpoints.hpp"

namespace turmericswitch::sidecar
{

namespace
{

worker_settings parse_worker_settings(settings::settings_reader& reader)
{
    worker_settings read;
    read.instance = core::instance_id(reader.text({"worker", "instance"}));
    read.registration = reader.endpoint({"worker", "registration"});
    read.runtime = reader.endpoint({"worker", "runtime"});
    return read;
}

} // namespace

sidecar_settings parse_sidecar_settings(settings::settings_reader& reader)
{
    using namespace std::chrono_literals;
    sidecar_settings read;
    read.process = shared::parse_process_settings(reader);
    read.control = shared::parse_control_endpoints(reader);
    if (reader.has({"worker", "instance"}))
    {
        read.worker = parse_worker_settings(reader);
        read.http = reader.endpoint({"sidecar", "http"});
        return read;
    }
    read.backend = core::backend_id(reader.text({"sidecar", "backend"}));
    read.service = core::service_id(reader.text({"sidecar", "service"}));
    read.zone = core::zone_id(reader.text({"sidecar", "zone"}));
    read.rpc = reader.endpoint({"sidecar", "rpc"});
    read.http = reader.endpoint({"sidecar", "http"});
    read.server = reader.endpoint({"sidecar", "server"});
    read.slots = reader.integer({"sidecar", "slots"}, {1, 256}, 8);
    read.connections =
        reader.integer({"sidecar", "connections"}, {1, 1024}, 60);
    read.drain_limit =
        reader.duration({"sidecar", "drain_limit"}, 30s, {0s, 1h});
    return read;
}

} // namespace turmericswitch::sidecar
