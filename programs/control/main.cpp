#include "api/document_proposer.hpp"
#include "api/loop_call.hpp"
#include "api/operator_api.hpp"
#include "api/process_api.hpp"
#include "api/worker_api.hpp"
#include "core/results/last_reason.hpp"
#include "node/control_node.hpp"
#include "node/recovery.hpp"
#include "platform/api/operator_api.hpp"
#include "settings/control_settings.hpp"
#include "shared/daemon/daemon_main.hpp"
#include "shared/daemon/status_handler.hpp"
#include "shared/peers/control_endpoints.hpp"
#include "store/files/folder_lock.hpp"
#include "store/files/real_file_system.hpp"
#include "wire/codec/protocol_version.hpp"

#include <thread>
#include <utility>

namespace turmericswitch::control
{

namespace
{

constexpr std::size_t io_threads = 2;
/// Longest time that a stop waits for open RPC calls of gateways and sidecars.
constexpr core::duration drain_limit = std::chrono::seconds(5);
constexpr core::duration drain_poll_interval = std::chrono::milliseconds(20);

start_mode mode_of(process::arguments const& given,
                   control_settings const& settings)
{
    if (!settings.seeds.empty())
    {
        return start_mode::automatic;
    }
    if (given.flag("--bootstrap"))
    {
        return start_mode::bootstrap;
    }
    return given.flag("--join") ? start_mode::join : start_mode::normal;
}

/// Runs an operator's call on the event loop and waits for its result.
platform::operator_outcome run_operator_call(
    control_node& node,
    std::function<void(std::function<void(platform::operator_outcome)>)> start)
{
    auto outcome =
        call_on_loop<platform::operator_outcome>(node, std::move(start));
    if (!outcome)
    {
        outcome.emplace();
        outcome->reply.code = core::last_reason().code;
        outcome->reply.text = core::last_reason().text;
    }
    return *outcome;
}

std::optional<core::endpoint> leader_http(control_node& node)
{
    auto const leader = node.group().leader();
    bool const is_other = leader && leader->id != node.group().self();
    return is_other ? std::optional(leader->http) : std::nullopt;
}

platform::operator_hooks make_operator_hooks(control_node& node)
{
    using platform::operator_outcome;
    using done_hook = std::function<void(operator_outcome)>;
    platform::operator_hooks hooks;
    hooks.propose = [&node](core::command_body const& body)
    {
        return run_operator_call(
            node,
            [&node, body](done_hook const& done)
            {
                auto const reply_with =
                    [&node, done](core::command_reply const& reply) {
                        done({reply, leader_http(node), {}});
                    };
                if (auto const* const document =
                        std::get_if<core::apply_document>(&body))
                {
                    propose_document(node.group(), *document, reply_with);
                    return;
                }
                node.group().propose(body, {}, {}, reply_with);
            });
    };
    hooks.read_document = [&node]
    {
        return run_operator_call(
            node,
            [&node](done_hook const& done)
            {
                node.group().read(
                    [&node, done](core::result_code code)
                    {
                        operator_outcome outcome;
                        outcome.reply.code = code;
                        outcome.leader = leader_http(node);
                        outcome.document =
                            node.group().state().config().document().source;
                        done(std::move(outcome));
                    });
            });
    };
    return hooks;
}

web::http_handler make_http_handler(control_node& node,
                                    operator_api& operators,
                                    worker_api& workers)
{
    auto routes = operators.routes();
    routes.push_back({"POST",
                      "/v1/workers/heartbeat",
                      [&workers](web::http_request const& request,
                                 web::path_parameters const&)
                      { return workers.heartbeat(request); }});
    for (auto& row : platform::operator_routes(make_operator_hooks(node)))
    {
        routes.push_back(std::move(row));
    }
    return shared::with_status_pages(
        node.metrics(),
        [&node] { return node.readiness(); },
        web::router(std::move(routes)));
}

/// Time between two attempts to read the state from a disk that is full.
constexpr core::duration recovery_retry_interval =
    std::chrono::milliseconds(500);

/// Recovers the state. While the disk takes no bytes, it tries again, because
/// the process could do no better after a restart.
///
/// @return Nothing with the reason if the state can't be recovered, or if a
/// shutdown signal arrived first.
std::optional<replica_parts>
recover_when_disk_works(store::file_system& files,
                        control_settings const& settings,
                        start_mode mode,
                        process::shutdown_signal& signal)
{
    telemetry::logger const log("control");
    for (;;)
    {
        auto parts = recover(files, settings, mode, process::random_seed());
        auto why = core::last_reason();
        bool const may_pass = why.code == core::result_code::disk_full ||
                              why.code == core::result_code::sync_failed;
        if (parts || !may_pass)
        {
            return parts;
        }
        log.write({core::event_code::storage_failed,
                   {core::text_field("why", why.text)}});
        if (signal.wait_for(recovery_retry_interval))
        {
            core::fail_bool(why.code, std::move(why.text));
            return std::nullopt;
        }
    }
}

/// Runs the instance until a shutdown signal arrives.
///
/// @return False with the reason if it could not start.
bool serve(control_settings const& settings,
           start_mode mode,
           process::shutdown_signal& signal)
{
    telemetry::logger const log("control");
    auto const lock = store::folder_lock::acquire(settings.data_folder);
    if (!lock)
    {
        return false;
    }
    store::real_file_system files;
    auto parts = recover_when_disk_works(files, settings, mode, signal);
    if (!parts)
    {
        return false;
    }
    transport::io_pool io(io_threads);
    control_node node(
        io, std::move(*parts), settings.duties, settings.dispatch);
    if (!settings.seeds.empty())
    {
        node.manage_membership(
            {node.group().self(), settings.rpc, settings.http, false},
            shared::control_endpoints(settings.seeds, settings.rpc.port));
    }
    process_api processes(node);
    operator_api operators(node);
    worker_api workers(node);

    transport::connection_options connection;
    connection.protocol_version = wire::protocol_version;
    auto const rpc = transport::rpc_server::listen(
        io,
        settings.rpc,
        [&processes](transport::rpc_request const& request,
                     transport::responder answer)
        { processes.handle(request, std::move(answer)); },
        connection,
        [&log](std::string const& text)
        {
            log.write({core::event_code::message_unreadable,
                       {core::text_field("message", "process connection"),
                        core::text_field("why", text)}});
        });
    web::server_options http_options;
    http_options.listen_on = settings.http;
    http_options.worker_threads = static_cast<unsigned>(settings.http_threads);
    http_options.max_keep_alive_connections = http_options.worker_threads / 2;
    if (settings.status_http)
    {
        http_options.also_listen_on.push_back(*settings.status_http);
    }
    auto const http =
        rpc ? web::http_server::start(
                  http_options, make_http_handler(node, operators, workers))
            : nullptr;
    if (!http)
    {
        return false;
    }
    node.start();
    if (!shared::publish_ports(
            settings.process,
            {{"rpc", rpc->bound().port}, {"http", http->bound().port}}))
    {
        return false;
    }
    log.write({core::event_code::process_started,
               {core::number_field("member", node.group().self().value()),
                core::text_field("rpc", to_string(rpc->bound())),
                core::text_field("http", to_string(http->bound()))}});
    signal.on_settings_changed(
        settings.process.settings_file,
        [&]
        {
            auto reader =
                shared::reload_settings(settings.process.settings_file);
            if (!reader || settings.seeds.empty())
            {
                return;
            }
            auto seeds = shared::control_endpoints(
                parse_control_settings(*reader).seeds, settings.rpc.port);
            node.run([&node, seeds = std::move(seeds)]
                     { node.membership()->set_seeds(seeds); });
        });
    signal.wait();

    log.write({core::event_code::process_stopping, {}});
    node.transfer_leadership();
    auto const stopped = http->stop();
    rpc->stop_accepting();
    node.end_duties();
    auto const until = process::event_loop::now() + drain_limit;
    while (!rpc->drained() && process::event_loop::now() < until)
    {
        std::this_thread::sleep_for(drain_poll_interval);
    }
    auto const unfinished = http->in_progress() + rpc->open_calls();
    // Stopped last, because calls that arrived during the drain still need it.
    node.stop();
    log.write({core::event_code::process_stopped,
               {core::number_field("finished", stopped.finished),
                core::number_field("cut", unfinished)}});
    return true;
}

} // namespace

} // namespace turmericswitch::control

int main(int argc, char** argv)
{
    using namespace turmericswitch;
    control::control_settings settings;
    shared::daemon_info info;
    info.usage = {"turmericswitch-control",
                  "keeps the replicated state and places tasks",
                  {{"--bootstrap",
                    "Start as one of the first members of a new group, with "
                    "an empty data folder."},
                   {"--join",
                    "Start as a new member that waits until operators add "
                    "it, with an empty data folder and a new member number; "
                    "the section members must list the group."}}};
    info.version = TURMERICSWITCH_VERSION;
    info.log_part = "control";
    return shared::run_daemon(
        info,
        {argv + 1, argv + argc},
        [&settings](settings::settings_reader& reader)
        { settings = control::parse_control_settings(reader); },
        [&settings](process::arguments const& given,
                    process::shutdown_signal& signal)
        {
            return control::serve(
                settings, control::mode_of(given, settings), signal);
        });
}
