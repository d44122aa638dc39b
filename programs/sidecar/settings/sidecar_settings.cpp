#include "sidecar/settings/sidecar_settings.hpp"

namespace turmericswitch::sidecar
{

sidecar_settings parse_sidecar_settings(settings::settings_reader& reader)
{
    using namespace std::chrono_literals;
    sidecar_settings read;
    read.process = shared::parse_process_settings(reader);
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
    read.control = reader.endpoints({"control", "rpc"});
    return read;
}

} // namespace turmericswitch::sidecar
