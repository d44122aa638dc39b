#ifndef TURMERICSWITCH_REVIEW_HARNESS_2_STANDINS_HPP
#define TURMERICSWITCH_REVIEW_HARNESS_2_STANDINS_HPP

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// @file
/// Stand-ins for callers, the operator and workers, for the cases of the second
/// review. They speak what the users' page on messages says.

namespace review
{

using json = nlohmann::json;
using milliseconds = std::chrono::milliseconds;
using steady_clock = std::chrono::steady_clock;

/// Exit statuses of a case.
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_cannot_run = 2;

struct endpoint
{
    std::string address;
    std::uint16_t port = 0;
};

std::string to_string(endpoint const& where);

/// An answer to an HTTP call; the status is 0 without a complete answer.
struct http_answer
{
    int status = 0;
    std::string body;
    /// Of a redirection.
    std::string location;
};

struct http_call
{
    std::string method;
    std::string target;
    /// Each with its line break.
    std::string fields;
    std::string body;
};

/// A client's connection, which stays open between calls.
class http_connection
{
public:
    explicit http_connection(endpoint peer);
    ~http_connection();

    http_connection(http_connection const&) = delete;
    http_connection& operator=(http_connection const&) = delete;

    /// Opens a connection if there is none, and closes it if the call fails or
    /// the peer says so.
    http_answer call(http_call const& content, milliseconds timeout);
    void close();

private:
    bool open(steady_clock::time_point deadline);

    endpoint m_peer;
    int m_socket = -1;
};

/// Makes one call on a connection of its own.
http_answer
call_once(endpoint const& peer, http_call const& content, milliseconds timeout);

/// The file that tells what was sent, answered and run.
class record
{
public:
    explicit record(std::string const& path);

    void write(std::string const& line);
    /// @return Seconds since the begin of the record.
    double seconds() const;

private:
    steady_clock::time_point m_begin = steady_clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Addresses and ports of the deployment that a case runs against.
struct deployment
{
    /// First three parts of all addresses, with the last dot.
    std::string prefix;
    std::uint16_t control_port = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t registration_port = 0;
    std::uint16_t runtime_port = 0;
    int controls = 0;
    int gateways = 0;
    int workers = 0;
    std::string record_file;
    /// Whether the disruption takes place.
    bool has_trouble = true;

    endpoint control(int number) const;
    endpoint gateway(int number) const;
    endpoint registration(int number) const;
    endpoint runtime(int number) const;
};

/// Reads the deployment from the arguments that `system.sh` passes.
std::optional<deployment> parse_deployment(int argc, char** argv);

/// @return A route of the configuration, with the values of a small site.
json make_route(std::string const& name,
                std::string const& path_prefix,
                int priority = 0);

/// Sends configurations like the users' operator.
class configuration_sender
{
public:
    configuration_sender(deployment const& system, record& log);

    /// Sends the next version until it is acknowledged.
    ///
    /// @return False if it was refused or is not acknowledged within 15 s.
    bool apply(std::vector<json> const& routes);

private:
    deployment const& m_system;
    record& m_log;
    int m_version = 0;
};

/// Calls the gateways like one consumer.
class consumer
{
public:
    consumer(deployment const& system, record& log);

    /// Submits, and again at the next gateway after no answer, 502, 503 or 504.
    ///
    /// @return The last status.
    int
    submit(std::string const& prefix, std::string const& id, json const& job);
    http_answer state(std::string const& prefix, std::string const& id);
    http_answer cancel(std::string const& prefix, std::string const& id);
    http_answer call(int gateway, http_call content);

private:
    deployment const& m_system;
    record& m_log;
    int m_next_gateway = 0;
};

/// One run of a task on a worker.
struct run
{
    std::string task;
    std::uint32_t attempt = 0;
    int worker = 0;
    /// Seconds of the record.
    double begun = 0;
    std::optional<double> ended;
    std::string how;
};

/// What the workers know of the tasks they get.
struct workload
{
    /// How long a task works.
    std::function<milliseconds(std::string const& task)> duration;
    /// Number of members of each gang, by `ID.K.STEP`.
    std::map<std::string, std::size_t> gangs;
    /// The rough figure in a row of `running` of a task at a pace in percent:
    /// of a task that serves its tail in whole milliseconds, else the
    /// millicores in use.
    std::function<int(std::string const& task, int pace)> figure =
        [](std::string const&, int pace) { return pace; };
    /// Whether a worker fails at this moment whatever is at work there.
    std::function<bool(int worker)> is_failing = [](int) { return false; };
    /// Whether a start gets no answer, and is carried out late: `held_for`
    /// after the call, or when the worker is up again after that.
    std::function<bool(int worker, std::string const& task)> is_held =
        [](int, std::string const&) { return false; };
    milliseconds held_for{0};
};

/// Workers that register with the sidecars and run tasks.
class fleet
{
public:
    /// @param cpu Millicores of each worker.
    fleet(deployment const& system, record& log, workload work, int cpu);
    ~fleet();

    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    /// @return All runs up to now, in the order of their starts.
    std::vector<run> runs() const;
    std::size_t running(std::string const& id) const;
    std::size_t started(std::string const& id) const;

    /// Ends a worker without a word, and what runs on it.
    void crash(int number);
    /// Starts a worker again under the id that it had.
    void start_again(int number);

private:
    class worker;
    struct shared_parts;

    std::unique_ptr<shared_parts> m_shared;
    std::vector<std::unique_ptr<worker>> m_workers;
};

/// Waits until the deployment takes submissions on the prefix.
bool wait_until_serving(deployment const& system,
                        record& log,
                        std::string const& prefix);

/// Waits until a condition holds.
bool wait_for(milliseconds limit, std::function<bool()> const& condition);

} // namespace review

#endif
