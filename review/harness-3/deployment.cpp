#include "deployment.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review
{

namespace
{

using nlohmann::json;

constexpr int poll_ms = 20;
constexpr int config_apply_ms = 2500;

// Ports of an instance, counted from the first one of the deployment.
constexpr std::uint16_t control_rpc = 0;
constexpr std::uint16_t control_http = 1;
constexpr std::uint16_t control_status = 2;
constexpr std::uint16_t gateway_front = 3;
constexpr std::uint16_t gateway_ready = 4;
constexpr std::uint16_t gateway_status = 5;
constexpr std::uint16_t side_control = 6;
constexpr std::uint16_t side_status = 7;
constexpr std::uint16_t minion_app = 8;
constexpr std::uint16_t port_count = 9;

std::string address_of(int first, std::size_t index)
{
    return "127.0.0." + std::to_string(first + static_cast<int>(index));
}

std::string control_address(std::size_t index)
{
    return address_of(11, index);
}

std::string gateway_address(std::size_t index)
{
    return address_of(31, index);
}

std::string side_address(std::size_t index)
{
    return address_of(51, index);
}

std::string zone_of(std::size_t index)
{
    constexpr std::array<char const*, 3> zones{"zone-a", "zone-b", "zone-c"};
    return zones.at(index % zones.size());
}

bool is_free(endpoint const& where)
{
    try
    {
        server const probe(where,
                           [](request const&) {
                               return response{404, {}, {}};
                           });
        return true;
    }
    catch (std::runtime_error const&)
    {
        return false;
    }
}

/// @return The first of `port_count` ports that are free at the addresses.
std::uint16_t find_ports(std::vector<std::string> const& addresses)
{
    constexpr int lowest = 21000;
    constexpr int choices = 900;
    constexpr int distance = 10;
    int const first = static_cast<int>(::getpid());
    for (int i = 0; i < choices; ++i)
    {
        auto const port = static_cast<std::uint16_t>(
            lowest + (first + i) % choices * distance);
        bool const are_free = std::all_of(
            addresses.begin(),
            addresses.end(),
            [port](std::string const& address)
            {
                for (std::uint16_t k = 0; k < port_count; ++k)
                {
                    if (!is_free(
                            {address, static_cast<std::uint16_t>(port + k)}))
                    {
                        return false;
                    }
                }
                return true;
            });
        if (are_free)
        {
            return port;
        }
    }
    throw std::runtime_error("no free ports");
}

} // namespace

record::record(std::string const& file) : m_file(file), m_begun(steady_ms()) {}

void record::line(std::string const& text)
{
    std::lock_guard const lock(m_mutex);
    constexpr double second = 1000.0;
    std::array<char, 32> time{};
    auto const passed = static_cast<double>(steady_ms() - m_begun) / second;
    std::snprintf(time.data(), time.size(), "%8.3f  ", passed);
    m_file << time.data() << text << '\n' << std::flush;
    std::printf("%s%s\n", time.data(), text.c_str());
    std::fflush(stdout);
}

program::program(std::vector<std::string> command, std::string log)
    : m_command(std::move(command)), m_log(std::move(log))
{
}

program::~program()
{
    kill();
}

void program::start()
{
    constexpr mode_t log_mode = 0644;
    std::vector<char*> arguments;
    for (auto& each : m_command)
    {
        arguments.push_back(each.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     m_log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (::posix_spawn(&m_pid,
                      arguments[0],
                      &actions,
                      nullptr,
                      arguments.data(),
                      environ) != 0)
    {
        m_pid = 0;
        throw std::runtime_error("can't start " + m_command[0]);
    }
    posix_spawn_file_actions_destroy(&actions);
    m_has_ended = false;
}

void program::signal(int number) const
{
    if (m_pid != 0)
    {
        ::kill(m_pid, number);
    }
}

void program::kill()
{
    if (m_pid != 0)
    {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

bool program::has_ended_by_itself()
{
    if (m_pid != 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
    {
        m_pid = 0;
        m_has_ended = true;
    }
    return m_has_ended;
}

deployment::deployment(deployment_options options, record& log)
    : m_options(std::move(options)), m_log(log)
{
    std::string name =
        (std::filesystem::temp_directory_path() / "review-3.XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = name;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < m_options.controls; ++i)
    {
        addresses.push_back(control_address(i));
    }
    for (std::size_t i = 0; i < m_options.gateways; ++i)
    {
        addresses.push_back(gateway_address(i));
    }
    for (std::size_t i = 0; i < m_options.minions; ++i)
    {
        addresses.push_back(side_address(i));
    }
    m_port = find_ports(addresses);
}

deployment::~deployment()
{
    m_minions.clear();
    m_gateways.clear();
    m_sidecars.clear();
    m_controls.clear();
    if (std::getenv("KEEP") == nullptr)
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
    else
    {
        std::printf("logs are in %s\n", m_folder.c_str());
    }
}

endpoint deployment::control_at(std::size_t index, std::uint16_t offset) const
{
    return {control_address(index),
            static_cast<std::uint16_t>(m_port + offset)};
}

endpoint deployment::gateway_at(std::size_t index, std::uint16_t offset) const
{
    return {gateway_address(index),
            static_cast<std::uint16_t>(m_port + offset)};
}

std::string deployment::seeds() const
{
    constexpr std::size_t most = 3;
    std::string text;
    for (std::size_t i = 0; i < std::min(m_options.controls, most); ++i)
    {
        text += (i > 0 ? "," : "") + to_string(control_at(i, control_http));
    }
    return text;
}

std::string deployment::write_settings(std::string const& name,
                                       std::string const& text) const
{
    auto file = (m_folder / (name + ".ini")).string();
    std::ofstream(file) << "[process]\nlog_level = info\nlog_format = json\n"
                        << text;
    return file;
}

bool deployment::begin()
{
    auto const rpc_port = std::to_string(m_port + control_rpc);
    auto const control_section =
        "[control]\nseeds = " + seeds() + "\nrpc_port = " + rpc_port + "\n";
    auto const add = [this](std::vector<std::unique_ptr<program>>& list,
                            std::string const& kind,
                            std::string const& settings)
    {
        auto const name = kind + std::to_string(list.size());
        list.push_back(std::make_unique<program>(
            std::vector<std::string>{"target/programs/" + kind +
                                         "/turmericswitch-" + kind,
                                     "--config",
                                     write_settings(name, settings)},
            (m_folder / (name + ".log")).string()));
        list.back()->start();
    };
    for (std::size_t i = 0; i < m_options.controls; ++i)
    {
        auto const data = m_folder / ("data" + std::to_string(i));
        std::filesystem::create_directory(data);
        add(m_controls,
            "control",
            "[control]\ndata = " + data.string() +
                "\nrpc = " + to_string(control_at(i, control_rpc)) +
                "\nhttp = " + to_string(control_at(i, control_http)) +
                "\nhttp_threads = 16\nstatus_http = " +
                to_string(control_at(i, control_status)) +
                "\nseeds = " + seeds() +
                "\nbootstrap = yes\n[consensus]\nsnapshot_interval = 2000\n"
                "[workers]\nlongest_lease = " +
                std::to_string(m_options.max_hold_ms) +
                "ms\nharm_limit = 4000ms\n[placement]\ncopies = no\npacking = "
                "no\nspeed = no\nmoves = no\n[overload]\norder = no\npace = "
                "no\npreemption = no\n");
    }
    for (std::size_t i = 0; i < m_options.gateways; ++i)
    {
        add(m_gateways,
            "gateway",
            "[gateway]\nname = edge-" + std::to_string(i) +
                "\nzone = " + zone_of(i) +
                "\nhttp = " + to_string(gateway_at(i, gateway_status)) +
                "\nhttp_threads = 32\nio_threads = 1\n[jobs]\ncallers = " +
                to_string(gateway_at(i, gateway_front)) +
                "\nreadiness = " + to_string(gateway_at(i, gateway_ready)) +
                "\nmax_config_age = 2500ms\n" + control_section);
    }
    for (std::size_t i = 0; i < m_options.minions; ++i)
    {
        auto const at = [this, i](std::uint16_t offset)
        {
            return endpoint{side_address(i),
                            static_cast<std::uint16_t>(m_port + offset)};
        };
        add(m_sidecars,
            "sidecar",
            "[sidecar]\nhttp = " + to_string(at(side_status)) +
                "\n[worker]\ninstance = side-" + std::to_string(i) +
                "\nregistration = " + to_string(at(side_control)) +
                "\nruntime = " + to_string(at(minion_app)) + "\n" +
                control_section);
        minion_options options;
        options.id = "i-" + std::to_string(i);
        options.service = "service-a";
        options.zone = zone_of(i);
        options.labels = {"a", "r1-" + std::to_string(i / 3)};
        options.max_hold_ms = m_options.max_hold_ms;
        options.app = at(minion_app);
        options.control = at(side_control);
        if (m_options.adapt)
        {
            m_options.adapt(i, options);
        }
        m_minions.push_back(
            std::make_unique<minion>(m_fleet, std::move(options)));
    }
    constexpr int start_limit_ms = 30000;
    bool const is_configured = wait_until(
        start_limit_ms,
        [this]
        {
            return operate(0, "PUT", "/config", configuration(1, 3).dump())
                       .status == 200;
        });
    bool const is_served =
        wait_until(start_limit_ms,
                   [this]
                   {
                       for (std::size_t i = 0; i < m_options.gateways; ++i)
                       {
                           if (ask(i, "GET", "").status != 200)
                           {
                               return false;
                           }
                       }
                       return true;
                   });
    pause_ms(config_apply_ms);
    m_log.line(is_configured && is_served ? "the deployment serves"
                                          : "the deployment does not serve");
    return is_configured && is_served;
}

fleet& deployment::all()
{
    return m_fleet;
}

program& deployment::control(std::size_t index)
{
    return *m_controls[index];
}

program& deployment::gateway(std::size_t index)
{
    return *m_gateways[index];
}

program& deployment::sidecar(std::size_t index)
{
    return *m_sidecars[index];
}

minion& deployment::worker(std::size_t index)
{
    return *m_minions[index];
}

record& deployment::log()
{
    return m_log;
}

response deployment::ask(std::size_t gateway,
                         std::string const& method,
                         std::string const& id,
                         std::string const& body,
                         int budget_ms)
{
    return call(gateway_at(gateway, gateway_front),
                {method,
                 "/jobs/" + id,
                 {{"host", "queue.example"},
                  {"x-deadline-ms", std::to_string(budget_ms)}},
                 body},
                budget_ms);
}

endpoint deployment::front_of(std::size_t gateway) const
{
    return gateway_at(gateway, gateway_front);
}

response deployment::operate(std::size_t control,
                             std::string const& method,
                             std::string const& target,
                             std::string const& body)
{
    constexpr int timeout_ms = 1000;
    constexpr int most_redirects = 2;
    constexpr int redirect = 307;
    auto to = control_at(control, control_http);
    response answer;
    for (int i = 0; i <= most_redirects; ++i)
    {
        answer = call(to, {method, target, {}, body}, timeout_ms);
        auto const location = answer.fields.find("location");
        if (answer.status != redirect || location == answer.fields.end())
        {
            break;
        }
        auto const begin = location->second.find("//") + 2;
        auto const colon = location->second.find(':', begin);
        to.address = location->second.substr(begin, colon - begin);
        to.port = static_cast<std::uint16_t>(
            std::atoi(location->second.c_str() + colon + 1));
    }
    return answer;
}

bool deployment::submit(std::string const& id, json const& what)
{
    constexpr int limit_ms = 10000;
    std::size_t attempt = 0;
    bool const is_accepted = wait_until(
        limit_ms,
        [&]
        {
            auto const answer =
                ask(attempt++ % m_options.gateways, "POST", id, what.dump());
            m_log.line("POST " + id + " is answered with " +
                       std::to_string(answer.status));
            return answer.status == 200;
        });
    return is_accepted;
}

std::string deployment::state_of(std::string const& id, std::size_t gateway)
{
    auto const answer = ask(gateway, "GET", id);
    auto const body = json::parse(answer.body, nullptr, false);
    return answer.status == 200 && body.is_object()
               ? body.value("state", std::string("none"))
               : std::to_string(answer.status);
}

json deployment::configuration(int version, int attempts)
{
    return {{"version", version},
            {"routes",
             {{{"name", "r-1"},
               {"host", "queue.example"},
               {"path_prefix", "/jobs/"},
               {"type", "unsafe"},
               {"timeout_ms", 3000},
               {"target_latency_ms", 400},
               {"priority", 0},
               {"service", "service-a"},
               {"attempts", attempts},
               {"stretch", 1.5},
               {"allowed_regions", json::array()}}}},
            {"services",
             {{{"name", "service-a"},
               {"health_path", "/health"},
               {"max_connections", 64},
               {"protocol", "h1"},
               {"tls", false},
               {"warmup_s", 0.0},
               {"cold_per_s", 0.0},
               {"enforces_capacity", false},
               {"standby", false}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

std::size_t deployment::ended_programs()
{
    std::size_t count = 0;
    for (auto* const list : {&m_controls, &m_gateways, &m_sidecars})
    {
        for (auto const& each : *list)
        {
            count += each->has_ended_by_itself() ? 1 : 0;
        }
    }
    return count;
}

std::string id_of(unsigned number)
{
    constexpr std::size_t digits = 16;
    auto const text = std::to_string(number);
    return std::string(digits - text.size(), '0') + text;
}

bool has_trouble()
{
    auto const* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

bool wait_until(int limit_ms, std::function<bool()> const& condition)
{
    auto const until = steady_ms() + limit_ms;
    while (!condition())
    {
        if (steady_ms() > until)
        {
            return false;
        }
        pause_ms(poll_ms);
    }
    return true;
}

void pause_ms(int time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

} // namespace review
