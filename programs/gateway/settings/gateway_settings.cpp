#include "gateway/settings/gateway_settings.hpp"

#include "shared/peers/control_endpoints.hpp"

namespace turmericswitch::gateway
{

namespace
{

constexpr core::byte_count default_body_limit{8LL << 20};

job_settings parse_job_settings(settings::settings_reader& reader)
{
    using namespace std::chrono_literals;
    job_settings read;
    read.callers = reader.endpoint({"jobs", "callers"});
    read.readiness = reader.endpoint({"jobs", "readiness"});
    read.stop_delay =
        reader.duration({"jobs", "stop_delay"}, 2500ms, {0s, 1min});
    read.max_config_age =
        reader.duration({"jobs", "max_config_age"}, 2500ms, {100ms, 1min});
    return read;
}

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
    read.control = shared::parse_control_endpoints(reader);
    if (reader.has({"jobs", "callers"}))
    {
        read.jobs = parse_job_settings(reader);
        return read;
    }
    read.control_http = reader.endpoints({"control", "http"});
    return read;
}

} // namespace turmericswitch::gateway
