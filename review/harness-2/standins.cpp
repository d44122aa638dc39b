#include "standins.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <iomanip>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review
{

namespace
{

constexpr milliseconds poll_pause(50);
constexpr milliseconds operator_timeout(2000);
constexpr milliseconds consumer_timeout(3500);
constexpr int max_redirections = 2;

int remaining(steady_clock::time_point deadline)
{
    auto const left = std::chrono::duration_cast<milliseconds>(
        deadline - steady_clock::now());
    return static_cast<int>(std::max<milliseconds::rep>(left.count(), 0));
}

bool wait_for_socket(int socket, short events, steady_clock::time_point until)
{
    pollfd waiting{socket, events, 0};
    return ::poll(&waiting, 1, remaining(until)) > 0;
}

bool send_all(int socket,
              std::string const& bytes,
              steady_clock::time_point until)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        if (!wait_for_socket(socket, POLLOUT, until))
        {
            return false;
        }
        auto const count = ::send(socket,
                                  bytes.data() + sent,
                                  bytes.size() - sent,
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && errno != EAGAIN && errno != EINTR)
        {
            return false;
        }
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    return true;
}

bool receive_some(int socket,
                  std::string& bytes,
                  steady_clock::time_point until)
{
    constexpr std::size_t block = 16384;
    std::string part(block, '\0');
    if (!wait_for_socket(socket, POLLIN, until))
    {
        return false;
    }
    auto const count = ::recv(socket, part.data(), part.size(), 0);
    if (count <= 0)
    {
        return false;
    }
    bytes.append(part, 0, static_cast<std::size_t>(count));
    return true;
}

std::string field_of(std::string const& head, std::string const& name)
{
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line))
    {
        auto const colon = line.find(':');
        if (colon == std::string::npos || colon != name.size())
        {
            continue;
        }
        bool const is_same =
            std::equal(name.begin(),
                       name.end(),
                       line.begin(),
                       [](char a, char b)
                       {
                           return std::tolower(static_cast<unsigned char>(a)) ==
                                  std::tolower(static_cast<unsigned char>(b));
                       });
        if (is_same)
        {
            auto const first = line.find_first_not_of(' ', colon + 1);
            auto const last = line.find_last_not_of("\r ");
            return first == std::string::npos || last < first
                       ? std::string()
                       : line.substr(first, last - first + 1);
        }
    }
    return {};
}

struct http_message
{
    std::string head;
    std::string body;
};

/// Reads a message whose length is given by Content-Length.
std::optional<http_message> receive_message(int socket,
                                            steady_clock::time_point until)
{
    std::string bytes;
    std::size_t end = std::string::npos;
    while ((end = bytes.find("\r\n\r\n")) == std::string::npos)
    {
        if (!receive_some(socket, bytes, until))
        {
            return std::nullopt;
        }
    }
    http_message message{bytes.substr(0, end + 2), bytes.substr(end + 4)};
    auto const text = field_of(message.head, "Content-Length");
    auto const length = text.empty() ? std::size_t{0} : std::stoul(text);
    while (message.body.size() < length)
    {
        if (!receive_some(socket, message.body, until))
        {
            return std::nullopt;
        }
    }
    return message;
}

sockaddr_in socket_address(endpoint const& where)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port);
    inet_pton(AF_INET, where.address.c_str(), &address.sin_addr);
    return address;
}

void set_no_delay(int socket)
{
    int const on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::optional<endpoint> redirected_to(std::string const& location)
{
    constexpr std::string_view scheme = "http://";
    if (!location.starts_with(scheme))
    {
        return std::nullopt;
    }
    auto const host = location.substr(
        scheme.size(), location.find('/', scheme.size()) - scheme.size());
    auto const colon = host.find(':');
    return endpoint{
        host.substr(0, colon),
        static_cast<std::uint16_t>(std::stoul(host.substr(colon + 1)))};
}

std::string gang_of(std::string const& task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace

std::string to_string(endpoint const& where)
{
    return where.address + ":" + std::to_string(where.port);
}

http_connection::http_connection(endpoint peer) : m_peer(std::move(peer)) {}

http_connection::~http_connection()
{
    close();
}

void http_connection::close()
{
    if (m_socket >= 0)
    {
        ::close(m_socket);
        m_socket = -1;
    }
}

bool http_connection::open(steady_clock::time_point deadline)
{
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto const address = socket_address(m_peer);
    int const result = ::connect(
        m_socket, reinterpret_cast<sockaddr const*>(&address), sizeof address);
    if (result != 0 &&
        (errno != EINPROGRESS || !wait_for_socket(m_socket, POLLOUT, deadline)))
    {
        return false;
    }
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size);
    set_no_delay(m_socket);
    return error == 0;
}

http_answer http_connection::call(http_call const& content,
                                  milliseconds timeout)
{
    auto const deadline = steady_clock::now() + timeout;
    std::string const request =
        content.method + " " + content.target + " HTTP/1.1\r\n" +
        content.fields +
        "Content-Length: " + std::to_string(content.body.size()) + "\r\n\r\n" +
        content.body;
    bool const is_sent = (m_socket >= 0 || open(deadline)) &&
                         send_all(m_socket, request, deadline);
    auto const answer =
        is_sent ? receive_message(m_socket, deadline) : std::nullopt;
    if (!answer)
    {
        close();
        return {};
    }
    http_answer result;
    result.status = std::stoi(answer->head.substr(answer->head.find(' ') + 1));
    result.body = answer->body;
    result.location = field_of(answer->head, "Location");
    if (field_of(answer->head, "Connection") == "close")
    {
        close();
    }
    return result;
}

http_answer
call_once(endpoint const& peer, http_call const& content, milliseconds timeout)
{
    auto closing = content;
    closing.fields += "Connection: close\r\n";
    return http_connection(peer).call(closing, timeout);
}

record::record(std::string const& path) : m_file(path, std::ios::app) {}

void record::write(std::string const& line)
{
    std::lock_guard const lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << std::setw(8) << seconds()
           << ' ' << line << '\n'
           << std::flush;
}

double record::seconds() const
{
    return std::chrono::duration<double>(steady_clock::now() - m_begin).count();
}

endpoint deployment::control(int number) const
{
    constexpr int first = 2;
    return {prefix + std::to_string(first + number), control_port};
}

endpoint deployment::gateway(int number) const
{
    constexpr int first = 12;
    return {prefix + std::to_string(first + number), caller_port};
}

endpoint deployment::registration(int number) const
{
    constexpr int first = 21;
    return {prefix + std::to_string(first + number), registration_port};
}

endpoint deployment::runtime(int number) const
{
    return {registration(number).address, runtime_port};
}

std::optional<deployment> parse_deployment(int argc, char** argv)
{
    constexpr int expected = 11;
    if (argc < expected)
    {
        std::fputs("started by run.sh only\n", stderr);
        return std::nullopt;
    }
    auto const port = [argv](int position)
    { return static_cast<std::uint16_t>(std::stoul(argv[position])); };
    deployment system;
    system.prefix = argv[1];
    system.control_port = port(2);
    system.caller_port = port(3);
    system.registration_port = port(4);
    system.runtime_port = port(5);
    system.controls = std::stoi(argv[6]);
    system.gateways = std::stoi(argv[7]);
    system.workers = std::stoi(argv[8]);
    system.record_file = argv[9];
    system.has_trouble = std::string(argv[10]) != "0";
    return system;
}

json make_route(std::string const& name,
                std::string const& path_prefix,
                int priority)
{
    return {{"name", name},
            {"host", "jobs.example"},
            {"path_prefix", path_prefix},
            {"type", "unsafe"},
            {"timeout_ms", 3000},
            {"target_latency_ms", 400},
            {"priority", priority},
            {"service", "labels"},
            {"attempts", 3},
            {"stretch", 1.5},
            {"allowed_regions", json::array()}};
}

configuration_sender::configuration_sender(deployment const& system,
                                           record& log)
    : m_system(system), m_log(log)
{
}

bool configuration_sender::apply(std::vector<json> const& routes)
{
    constexpr int max_tries = 30;
    constexpr milliseconds pause(500);
    json const service{{"name", "labels"},
                       {"health_path", "/health"},
                       {"max_connections", 64},
                       {"protocol", "h1"},
                       {"tls", false},
                       {"warmup_s", 0.0},
                       {"cold_per_s", 0.0},
                       {"enforces_capacity", false},
                       {"standby", false}};
    json const document{{"version", ++m_version},
                        {"routes", routes},
                        {"services", {service}},
                        {"limits",
                         {{"max_header_bytes", 16384},
                          {"max_body_bytes", 262144},
                          {"header_timeout_ms", 3000},
                          {"idle_timeout_ms", 15000}}}};
    http_call const call{"PUT",
                         "/config",
                         "Host: control\r\nContent-Type: application/json\r\n",
                         document.dump()};
    for (int i = 0; i < max_tries; ++i)
    {
        auto peer = m_system.control(i % m_system.controls);
        auto answer = call_once(peer, call, operator_timeout);
        for (int hop = 0; hop < max_redirections && answer.status == 307; ++hop)
        {
            peer = redirected_to(answer.location).value_or(peer);
            answer = call_once(peer, call, operator_timeout);
        }
        m_log.write("operator: PUT /config version " +
                    std::to_string(m_version) + " with " +
                    std::to_string(routes.size()) + " routes -> " +
                    std::to_string(answer.status));
        if (answer.status == 200)
        {
            return true;
        }
        if (answer.status >= 400 && answer.status < 500)
        {
            return false;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

consumer::consumer(deployment const& system, record& log)
    : m_system(system), m_log(log)
{
}

http_answer consumer::call(int gateway, http_call content)
{
    content.fields = "Host: jobs.example\r\nX-Deadline-Ms: 3000\r\n"
                     "Content-Type: application/json\r\n" +
                     content.fields;
    auto answer = call_once(m_system.gateway(gateway % m_system.gateways),
                            content,
                            consumer_timeout);
    m_log.write("consumer: " + content.method + " " + content.target + " at " +
                std::to_string(gateway % m_system.gateways) + " -> " +
                std::to_string(answer.status) + " " + answer.body);
    return answer;
}

int consumer::submit(std::string const& prefix,
                     std::string const& id,
                     json const& job)
{
    constexpr int max_tries = 5;
    constexpr milliseconds pause(300);
    http_answer answer;
    for (int i = 0; i < max_tries; ++i)
    {
        answer = call(m_next_gateway++, {"POST", prefix + id, "", job.dump()});
        bool const is_final =
            answer.status != 0 && answer.status < 500 && answer.status != 429;
        if (is_final)
        {
            break;
        }
        std::this_thread::sleep_for(pause);
    }
    return answer.status;
}

http_answer consumer::state(std::string const& prefix, std::string const& id)
{
    return call(m_next_gateway++, {"GET", prefix + id, "", ""});
}

http_answer consumer::cancel(std::string const& prefix, std::string const& id)
{
    return call(m_next_gateway++, {"DELETE", prefix + id, "", ""});
}

/// One worker: serves its sidecar's calls and registers with it.
class fleet::worker
{
public:
    struct held_call
    {
        int worker = 0;
        steady_clock::time_point due;
        http_message request;
    };

    struct shared_state
    {
        mutable std::mutex mutex;
        std::condition_variable changed;
        std::vector<run> runs;
        /// Members at work of each run of a gang, and runs that have ended
        /// `done`.
        std::map<std::pair<std::string, std::uint32_t>, std::set<std::string>>
            present;
        std::set<std::pair<std::string, std::uint32_t>> done;
        /// Starts that are carried out late.
        std::vector<held_call> held;
    };

    worker(deployment const& system,
           int number,
           int cpu,
           record& log,
           workload const& work,
           std::shared_ptr<shared_state> shared)
        : m_system(system),
          m_number(number),
          m_cpu(cpu),
          m_log(log),
          m_work(work),
          m_shared(std::move(shared)),
          m_id("i-review-" + std::to_string(number)),
          m_born_ms(std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count()),
          m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        constexpr int backlog = 64;
        int const on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto const address = socket_address(system.runtime(number));
        if (::bind(m_listener,
                   reinterpret_cast<sockaddr const*>(&address),
                   sizeof address) != 0 ||
            ::listen(m_listener, backlog) != 0)
        {
            std::perror("worker can't listen");
            std::exit(exit_cannot_run);
        }
        // What was on its way arrives first.
        carry_out_held();
        m_threads.emplace_back([this] { accept(); });
        m_threads.emplace_back([this] { register_regularly(); });
        m_threads.emplace_back([this] { run_tasks(); });
    }

    ~worker()
    {
        {
            std::lock_guard const lock(m_shared->mutex);
            m_is_stopping = true;
        }
        m_shared->changed.notify_all();
        ::shutdown(m_listener, SHUT_RDWR);
        for (auto& each : m_threads)
        {
            each.join();
        }
        ::close(m_listener);
    }

    worker(worker const&) = delete;
    worker& operator=(worker const&) = delete;

private:
    using gang_run = std::pair<std::string, std::uint32_t>;

    struct task
    {
        std::uint32_t attempt = 0;
        steady_clock::time_point begun;
        /// Set once it works; a gang waits for all of its members.
        std::optional<steady_clock::time_point> done_at;
        std::optional<steady_clock::time_point> stopped_at;
        std::size_t record = 0;
        std::size_t members = 0;
        int pace = full_pace;
    };

    static constexpr int full_pace = 100;
    static constexpr milliseconds heartbeat{1100};
    static constexpr milliseconds gang_wait{3000};
    static constexpr milliseconds stop_time{300};
    static constexpr milliseconds tick{5};
    static constexpr std::int64_t max_lease_ms = 10'000;
    static constexpr std::size_t max_listed = 500;

    std::int64_t clock() const
    {
        return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                        m_begun)
            .count();
    }

    void accept()
    {
        std::vector<std::thread> connections;
        while (!m_is_stopping)
        {
            if (!wait_for_socket(
                    m_listener, POLLIN, steady_clock::now() + poll_pause))
            {
                continue;
            }
            int const socket = ::accept(m_listener, nullptr, nullptr);
            if (socket >= 0)
            {
                connections.emplace_back([this, socket] { serve(socket); });
            }
        }
        for (auto& each : connections)
        {
            each.join();
        }
    }

    void serve(int socket)
    {
        set_no_delay(socket);
        while (!m_is_stopping)
        {
            if (!wait_for_socket(
                    socket, POLLIN, steady_clock::now() + poll_pause))
            {
                continue;
            }
            auto const request =
                receive_message(socket, steady_clock::now() + operator_timeout);
            if (!request)
            {
                break;
            }
            if (is_held(*request))
            {
                break;
            }
            auto const [status, body] = handle(*request);
            if (m_is_stopping)
            {
                break;
            }
            auto const text = body.dump();
            std::string const answer =
                "HTTP/1.1 " + std::to_string(status) +
                " Answer\r\nContent-Type: application/json\r\n"
                "Content-Length: " +
                std::to_string(text.size()) + "\r\n\r\n" + text;
            if (!send_all(
                    socket, answer, steady_clock::now() + operator_timeout))
            {
                break;
            }
        }
        ::close(socket);
    }

    /// Keeps a start that is to be carried out late.
    bool is_held(http_message const& request)
    {
        auto const body = json::parse(request.body, nullptr, false);
        if (!request.head.starts_with("POST /run-start ") || !body.is_object())
        {
            return false;
        }
        auto const task = body.value("task", std::string());
        std::lock_guard const lock(m_shared->mutex);
        if (!m_work.is_held(m_number, task))
        {
            return false;
        }
        m_shared->held.push_back(
            {m_number, steady_clock::now() + m_work.held_for, request});
        m_log.write("worker " + std::to_string(m_number) +
                    ": no answer to the start of " + task + " run " +
                    std::to_string(body.value("attempt", 0)));
        return true;
    }

    void carry_out_held()
    {
        std::vector<held_call> due;
        {
            std::lock_guard const lock(m_shared->mutex);
            auto const now = steady_clock::now();
            std::erase_if(m_shared->held,
                          [&](held_call const& each)
                          {
                              bool const is_due =
                                  each.worker == m_number && each.due <= now;
                              if (is_due)
                              {
                                  due.push_back(each);
                              }
                              return is_due;
                          });
        }
        for (auto const& each : due)
        {
            auto const [status, body] = handle(each.request);
            m_log.write("worker " + std::to_string(m_number) +
                        ": late start, status " + std::to_string(status) + " " +
                        body.dump());
        }
    }

    std::pair<int, json> handle(http_message const& request)
    {
        auto const expected = field_of(request.head, "X-Expected-Instance");
        if (!expected.empty() && expected != m_id)
        {
            return {421, json::object()};
        }
        auto const body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
        {
            return {400, json::object()};
        }
        auto const begin = request.head.find(' ') + 1;
        auto const path =
            request.head.substr(begin, request.head.find(' ', begin) - begin);
        std::unique_lock lock(m_shared->mutex);
        auto const token = body.value("fencing_token", std::uint64_t{0});
        if (token < m_token)
        {
            return {409, {{"server_time_ms", clock()}, {"reason", "fence"}}};
        }
        m_token = token;
        if (path == "/run-start")
        {
            return start(body);
        }
        if (path == "/run-stop")
        {
            return stop(body);
        }
        if (path == "/hold")
        {
            return hold(lock, body);
        }
        if (path == "/pace")
        {
            return pace(body);
        }
        return {404, {{"server_time_ms", clock()}}};
    }

    void extend(json const& body)
    {
        auto const until = body.value("deadline_ms", std::int64_t{0});
        m_lease = std::max(m_lease, std::min(until, clock() + max_lease_ms));
    }

    std::pair<int, json> start(json const& body)
    {
        auto const name = body.at("task").get<std::string>();
        auto const attempt = body.at("attempt").get<std::uint32_t>();
        auto const refuse = [this](char const* reason)
        {
            return std::pair<int, json>{
                409, {{"server_time_ms", clock()}, {"reason", reason}}};
        };
        if (auto const known = m_tasks.find(name); known != m_tasks.end())
        {
            return known->second.attempt == attempt
                       ? std::pair<int, json>{200,
                                              {{"server_time_ms", clock()}}}
                       : refuse("old");
        }
        if (m_closed[name] >= attempt)
        {
            extend(body);
            return refuse("old");
        }
        if (body.at("deadline_ms").get<std::int64_t>() <= clock())
        {
            return refuse("late");
        }
        extend(body);
        task added;
        added.attempt = attempt;
        added.begun = steady_clock::now();
        added.record = m_shared->runs.size();
        if (auto const gang = m_work.gangs.find(gang_of(name));
            gang != m_work.gangs.end())
        {
            added.members = gang->second;
            m_shared->present[{gang_of(name), attempt}].insert(name);
        }
        else
        {
            added.done_at = added.begun + m_work.duration(name);
        }
        m_shared->runs.push_back(
            {name, attempt, m_number, m_log.seconds(), std::nullopt, ""});
        m_tasks.emplace(name, added);
        m_log.write("worker " + std::to_string(m_number) + ": started " + name +
                    " run " + std::to_string(attempt));
        return {200, {{"server_time_ms", clock()}}};
    }

    std::pair<int, json> stop(json const& body)
    {
        auto const name = body.at("task").get<std::string>();
        auto const attempt = body.at("attempt").get<std::uint32_t>();
        auto const known = m_tasks.find(name);
        if (known != m_tasks.end() && known->second.attempt == attempt)
        {
            auto const at = steady_clock::now() + stop_time;
            known->second.stopped_at = known->second.stopped_at.value_or(at);
        }
        else
        {
            m_closed[name] = std::max(m_closed[name], attempt);
        }
        return {200, {{"server_time_ms", clock()}}};
    }

    std::pair<int, json> pace(json const& body)
    {
        auto const name = body.at("task").get<std::string>();
        auto const known = m_tasks.find(name);
        if (known != m_tasks.end() &&
            known->second.attempt == body.at("attempt").get<std::uint32_t>())
        {
            known->second.pace = body.at("percent").get<int>();
            m_log.write("worker " + std::to_string(m_number) + ": pace of " +
                        name + " " + std::to_string(known->second.pace));
        }
        return {200, {{"server_time_ms", clock()}}};
    }

    std::pair<int, json> hold(std::unique_lock<std::mutex>& lock,
                              json const& body)
    {
        extend(body);
        auto const cursor = body.value("ack_cursor", std::uint64_t{0});
        std::erase_if(m_ended,
                      [cursor](json const& row)
                      { return row.at(0).get<std::uint64_t>() <= cursor; });
        milliseconds const wait(body.value("wait_ms", 0));
        m_shared->changed.wait_for(
            lock, wait, [this] { return !m_ended.empty() || m_is_stopping; });
        json running = json::array();
        for (auto const& [name, each] : m_tasks)
        {
            running.push_back({name,
                               each.attempt,
                               "",
                               percent_of(name, each),
                               m_work.figure(name, each.pace)});
        }
        json ended = json::array();
        for (auto const& row : m_ended)
        {
            if (ended.size() < max_listed)
            {
                ended.push_back(row);
            }
        }
        return {200,
                {{"server_time_ms", clock()},
                 {"born", m_born_ms},
                 {"running", running},
                 {"ended", ended}}};
    }

    /// @return How much of a task's work is done; of a lasting one 100 once it
    ///         works.
    int percent_of(std::string const& name, task const& each) const
    {
        constexpr milliseconds lasting(60'000);
        constexpr int whole = 100;
        if (!each.done_at)
        {
            return 0;
        }
        auto const work = m_work.duration(name);
        auto const left = std::chrono::duration_cast<milliseconds>(
            *each.done_at - steady_clock::now());
        return work >= lasting ? whole
                               : whole - static_cast<int>(left.count() * whole /
                                                          work.count());
    }

    void run_tasks()
    {
        auto last = steady_clock::now();
        while (!m_is_stopping)
        {
            std::this_thread::sleep_for(tick);
            carry_out_held();
            std::lock_guard const lock(m_shared->mutex);
            std::vector<std::pair<std::string, char const*>> over;
            auto const now = steady_clock::now();
            auto const passed = now - std::exchange(last, now);
            for (auto& [name, each] : m_tasks)
            {
                if (each.done_at)
                {
                    // A slowed task does less of its work meanwhile.
                    *each.done_at +=
                        passed * (full_pace - each.pace) / full_pace;
                }
                if (auto const* const how = end_of(name, each))
                {
                    over.emplace_back(name, how);
                }
            }
            for (auto const& [name, how] : over)
            {
                end(name, how);
            }
        }
    }

    /// @return How the run ends now, or null.
    char const* end_of(std::string const& name, task& each)
    {
        auto const now = steady_clock::now();
        if (clock() > m_lease)
        {
            return "lapsed";
        }
        if (each.stopped_at && now >= *each.stopped_at)
        {
            return "stopped";
        }
        if (each.members > 0)
        {
            gang_run const key{gang_of(name), each.attempt};
            auto const present = m_shared->present[key].size();
            if (m_shared->done.contains(key))
            {
                return "done";
            }
            if (!each.done_at && present >= each.members)
            {
                each.done_at = now + m_work.duration(name);
            }
            if (!each.done_at)
            {
                return now - each.begun > gang_wait ? "alone" : nullptr;
            }
            if (present < each.members)
            {
                return "broken";
            }
        }
        if (m_work.is_failing(m_number))
        {
            return "failed";
        }
        return now >= *each.done_at ? "done" : nullptr;
    }

    void end(std::string const& name, char const* how)
    {
        auto const node = m_tasks.extract(name);
        auto const& ended = node.mapped();
        gang_run const key{gang_of(name), ended.attempt};
        m_shared->present[key].erase(name);
        if (ended.members > 0 && std::string(how) == "done")
        {
            m_shared->done.insert(key);
        }
        m_closed[name] = std::max(m_closed[name], ended.attempt);
        m_ended.push_back({++m_last_end, name, ended.attempt, how, ""});
        auto& history = m_shared->runs.at(ended.record);
        history.ended = m_log.seconds();
        history.how = how;
        m_log.write("worker " + std::to_string(m_number) + ": ended " + name +
                    " run " + std::to_string(ended.attempt) + " " + how);
        m_shared->changed.notify_all();
    }

    void register_regularly()
    {
        constexpr int memory_mb = 128'000;
        auto next = steady_clock::now();
        std::uint64_t sequence = 0;
        while (!m_is_stopping)
        {
            if (steady_clock::now() < next)
            {
                std::this_thread::sleep_for(poll_pause);
                continue;
            }
            next += heartbeat;
            json const body{
                {"service", "labels"},
                {"address", to_string(m_system.runtime(m_number))},
                {"zone", "zone-" + std::to_string(m_number % 3)},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"warmup_left_ms", 0},
                {"capacity",
                 {{"cpu", m_cpu}, {"mem_mb", memory_mb}, {"gpu", 0}}},
                {"labels", {"a", "r" + std::to_string(m_number % 3) + "-1"}},
                {"server_time_ms", clock()},
                {"born", m_born_ms},
                {"seq", ++sequence}};
            call_once(m_system.registration(m_number),
                      {"PUT",
                       "/instances/" + m_id,
                       "Host: sidecar\r\nContent-Type: application/json\r\n",
                       body.dump()},
                      milliseconds(1000));
        }
    }

    deployment const& m_system;
    int m_number = 0;
    int m_cpu = 0;
    record& m_log;
    workload const& m_work;
    std::shared_ptr<shared_state> m_shared;
    std::string m_id;
    std::int64_t m_born_ms = 0;
    steady_clock::time_point m_begun = steady_clock::now();
    int m_listener = -1;
    std::atomic<bool> m_is_stopping = false;

    // Guarded by the mutex of the shared state.
    std::uint64_t m_token = 0;
    std::int64_t m_lease = 0;
    std::map<std::string, task> m_tasks;
    std::map<std::string, std::uint32_t> m_closed;
    std::vector<json> m_ended;
    std::uint64_t m_last_end = 0;

    std::vector<std::thread> m_threads;
};

struct fleet::shared_parts
{
    deployment const& system;
    record& log;
    int cpu = 0;
    workload work;
    std::shared_ptr<worker::shared_state> state =
        std::make_shared<worker::shared_state>();
};

fleet::fleet(deployment const& system, record& log, workload work, int cpu)
    : m_shared(std::make_unique<shared_parts>(
          shared_parts{system, log, cpu, std::move(work)}))
{
    for (int i = 0; i < system.workers; ++i)
    {
        m_workers.push_back(std::make_unique<worker>(
            system, i, cpu, log, m_shared->work, m_shared->state));
    }
}

fleet::~fleet()
{
    m_workers.clear();
}

std::vector<run> fleet::runs() const
{
    std::lock_guard const lock(m_shared->state->mutex);
    return m_shared->state->runs;
}

std::size_t fleet::running(std::string const& id) const
{
    auto const all = runs();
    return static_cast<std::size_t>(
        std::count_if(all.begin(),
                      all.end(),
                      [&id](run const& each)
                      { return each.task.starts_with(id) && !each.ended; }));
}

std::size_t fleet::started(std::string const& id) const
{
    auto const all = runs();
    return static_cast<std::size_t>(std::count_if(
        all.begin(),
        all.end(),
        [&id](run const& each) { return each.task.starts_with(id); }));
}

void fleet::crash(int number)
{
    auto& log = m_shared->log;
    log.write("worker " + std::to_string(number) + " goes down");
    auto const at = log.seconds();
    m_workers.at(static_cast<std::size_t>(number)).reset();
    std::lock_guard const lock(m_shared->state->mutex);
    for (auto& each : m_shared->state->runs)
    {
        if (each.worker == number && !each.ended)
        {
            each.ended = std::max(at, each.begun);
            each.how = "crashed";
        }
    }
}

void fleet::start_again(int number)
{
    m_shared->log.write("worker " + std::to_string(number) + " starts again");
    m_workers.at(static_cast<std::size_t>(number)) =
        std::make_unique<worker>(m_shared->system,
                                 number,
                                 m_shared->cpu,
                                 m_shared->log,
                                 m_shared->work,
                                 m_shared->state);
}

bool wait_for(milliseconds limit, std::function<bool()> const& condition)
{
    auto const until = steady_clock::now() + limit;
    while (!condition())
    {
        if (steady_clock::now() > until)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_pause);
    }
    return true;
}

bool wait_until_serving(deployment const& system,
                        record& log,
                        std::string const& prefix)
{
    constexpr milliseconds limit(20'000);
    constexpr milliseconds pause(300);
    // The sidecars report their workers meanwhile.
    constexpr milliseconds settling(3000);
    bool const is_serving =
        wait_for(limit,
                 [&]
                 {
                     std::this_thread::sleep_for(pause);
                     for (int i = 0; i < system.gateways; ++i)
                     {
                         if (consumer(system, log)
                                 .call(i, {"GET", prefix, "", ""})
                                 .status != 200)
                         {
                             return false;
                         }
                     }
                     return true;
                 });
    std::this_thread::sleep_for(settling);
    return is_serving;
}

} // namespace review
