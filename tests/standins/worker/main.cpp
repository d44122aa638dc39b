#include "process/loop/event_loop.hpp"
#include "shared/daemon/daemon_main.hpp"
#include "shared/peers/leader_address.hpp"
#include "standins/worker/worker_core.hpp"
#include "web/web.hpp"
#include "wire/json/worker_json.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

// Stand-in for a worker of the platform: sends heartbeats to the control
// leader and runs scripted tasks.

namespace turmericswitch::standins
{

namespace
{

constexpr core::duration heartbeat_timeout = std::chrono::seconds(2);
constexpr core::duration default_pause = std::chrono::milliseconds(200);
constexpr std::uint16_t misdirected_status = 421;
constexpr unsigned http_threads = 4;

struct worker_settings
{
    shared::process_settings process;
    core::endpoint http;
    core::worker_description worker;
    std::vector<core::endpoint> control;
    bool fails_everything = false;
};

worker_settings parse_worker_settings(settings::settings_reader& reader)
{
    constexpr std::int64_t most = 1'000'000'000;
    worker_settings read;
    read.process = shared::parse_process_settings(reader);
    read.http = reader.endpoint({"worker", "http"});
    read.control = reader.endpoints({"worker", "control"});
    auto& worker = read.worker;
    worker.worker = core::worker_id(reader.text({"worker", "name"}));
    worker.place.zone = core::zone_id(reader.text({"worker", "zone"}));
    worker.rack = core::rack_id(reader.text({"worker", "rack"}));
    worker.capacity.cpu = core::millicores(
        reader.integer({"worker", "cpu_millicores"}, {1, most}));
    worker.capacity.memory = reader.bytes({"worker", "memory"});
    worker.capacity.accelerators = core::accelerator_count(
        reader.integer({"worker", "accelerators"}, {0, 1000}, 0));
    read.fails_everything = reader.flag({"worker", "fails_everything"}, false);
    return read;
}

/// The worker's own clock; it need not agree with any other.
core::duration own_time()
{
    return process::event_loop::now().time_since_epoch();
}

/// Sends heartbeats until it is stopped.
class heartbeat_sender
{
public:
    heartbeat_sender(worker_core& worker,
                     std::mutex& mutex,
                     std::vector<core::endpoint> control)
        : m_worker(worker),
          m_mutex(mutex),
          m_control(std::move(control)),
          m_target(m_control.front()),
          m_thread([this] { run(); })
    {
    }

    ~heartbeat_sender()
    {
        m_stopping = true;
        m_thread.join();
    }

    heartbeat_sender(heartbeat_sender const&) = delete;
    heartbeat_sender& operator=(heartbeat_sender const&) = delete;

private:
    void run()
    {
        while (!m_stopping)
        {
            std::this_thread::sleep_for(send_one());
        }
    }

    /// @return The pause until the next heartbeat.
    core::duration send_one()
    {
        web::http_request request;
        request.method = "POST";
        request.target = "/v1/workers/heartbeat";
        request.fields = {{"Content-Type", "application/json"}};
        {
            std::lock_guard const lock(m_mutex);
            request.body =
                wire::heartbeat_request_to_json(m_worker.heartbeat(own_time()));
        }
        auto const result =
            m_client.request(m_target, request, heartbeat_timeout);
        if (result.outcome != web::http_outcome::answered)
        {
            turn_to_next();
            return default_pause;
        }
        if (result.response.status == misdirected_status)
        {
            follow(result.response);
            return core::duration::zero();
        }
        auto const answer =
            wire::heartbeat_answer_from_json(result.response.body);
        if (!answer)
        {
            return default_pause;
        }
        std::lock_guard const lock(m_mutex);
        m_worker.answered(own_time(), *answer);
        return answer->next_heartbeat;
    }

    void follow(web::http_response const& response)
    {
        auto const leader = shared::leader_address(response);
        if (leader && *leader != m_target)
        {
            m_target = *leader;
            return;
        }
        std::this_thread::sleep_for(default_pause);
        turn_to_next();
    }

    void turn_to_next()
    {
        m_next = (m_next + 1) % m_control.size();
        m_target = m_control[m_next];
    }

    worker_core& m_worker;
    std::mutex& m_mutex;
    std::vector<core::endpoint> m_control;
    core::endpoint m_target;
    std::size_t m_next = 0;
    web::http_client m_client;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

std::string executions_to_json(worker_core const& worker)
{
    auto finished = nlohmann::json::array();
    for (auto const& [name, count] : worker.finished())
    {
        finished.push_back({{"name", name}, {"count", count}});
    }
    return nlohmann::json{{"finished", std::move(finished)},
                          {"starts", worker.counts().starts},
                          {"evictions", worker.counts().evictions},
                          {"permit_refusals", worker.counts().permit_refusals},
                          {"lease_ends", worker.counts().lease_ends}}
        .dump();
}

bool serve(worker_settings const& settings, process::shutdown_signal& signal)
{
    auto description = settings.worker;
    // Rises from one life to the next, as the protocol asks.
    description.life = core::incarnation(static_cast<std::uint64_t>(
        std::chrono::system_clock::now().time_since_epoch().count()));
    worker_core worker(description, settings.fails_everything);
    std::mutex mutex;
    web::server_options options;
    options.listen_on = settings.http;
    options.worker_threads = http_threads;
    auto const http = web::http_server::start(
        options,
        [&](web::http_request const&)
        {
            std::lock_guard const lock(mutex);
            return web::json_response(executions_to_json(worker));
        });
    if (!http || !shared::publish_ports(settings.process,
                                        {{"http", http->bound().port}}))
    {
        return false;
    }
    heartbeat_sender const sender(worker, mutex, settings.control);
    signal.wait();
    return true;
}

} // namespace

} // namespace turmericswitch::standins

int main(int argc, char** argv)
{
    using namespace turmericswitch;
    return shared::run_daemon(
        {{"worker-standin", "a platform worker for tests", {}},
         TURMERICSWITCH_VERSION,
         "worker-standin"},
        {argv + 1, argv + argc},
        &standins::parse_worker_settings,
        &standins::serve);
}
