#include "gateway/settings/gateway_settings.hpp"

namespace turmericswitch::gateway
{

namespace
{

constexpr core::byte_count default_body_limit{8LL << 20};

} // namespace

gateway_settings parse_gateway_settings(settings::settings_reader& reader)
{
    gateway_settings read;
    read.process = shared::parse_process_settings(reader);
    read.name = reader.text({"gateway", "name"});
    read.http = reader.endpoint({"gateway", "http"});
    read.http_threads =
        reader.integer({"gateway", "http_threads"}, {2, 1024}, 128);
    read.body_limit =
        reader.bytes({"gateway", "body_limit"}, default_body_limit);
    read.io_threads = reader.integer({"gateway", "io_threads"}, {1, 64}, 2);
    read.zone = core::zone_id(reader.text({"gateway", "zone"}));
    read.policy = reader.one_of({"gateway", "policy"},
                                {"random",
                                 "least_outstanding",
                                 "power_of_two",
                                 "power_of_two_latency",
                                 "least_expected"},
                                "least_expected");
    read.control = reader.endpoints({"control", "rpc"});
    read.control_http = reader.endpoints({"control", "http"});
    return read;
}

} // namespace turmericswitch::gateway
