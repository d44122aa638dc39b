#ifndef REVIEW_HARNESS_3_DEPLOYMENT_HPP
#define REVIEW_HARNESS_3_DEPLOYMENT_HPP

#include "http.hpp"
#include "minion.hpp"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review
{

/// The file `record.txt` of a case.
class record
{
public:
    explicit record(std::string const& file);

    /// Writes a line with the time since the case began.
    void line(std::string const& text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_begun = 0;
};

/// A program of the project. The destructor kills it.
class program
{
public:
    program(std::vector<std::string> command, std::string log);
    ~program();

    program(program const&) = delete;
    program& operator=(program const&) = delete;

    void start();
    void signal(int number) const;
    /// Kills the program and waits for its end.
    void kill();
    /// @return False while it runs, or if it was killed by `kill`.
    bool has_ended_by_itself();

private:
    std::vector<std::string> m_command;
    std::string m_log;
    pid_t m_pid = 0;
    bool m_has_ended = false;
};

struct deployment_options
{
    std::size_t controls = 3;
    std::size_t gateways = 2;
    std::size_t minions = 4;
    /// Changes the options of a minion before it starts.
    std::function<void(std::size_t, minion_options&)> adapt;
    std::int64_t max_hold_ms = 10000;
};

/// A small deployment on loopback: control, gateways, and sidecars with their
/// minions. Settings are as the templates in deploy/settings give them.
class deployment
{
public:
    deployment(deployment_options options, record& log);
    ~deployment();

    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    /// Starts all programs, applies a configuration with one queue, and waits
    /// until the gateways serve it.
    ///
    /// @return False if that took too long.
    bool begin();

    fleet& all();
    program& control(std::size_t index);
    program& gateway(std::size_t index);
    program& sidecar(std::size_t index);
    minion& worker(std::size_t index);

    /// A call of a consumer to a gateway.
    response ask(std::size_t gateway,
                 std::string const& method,
                 std::string const& id,
                 std::string const& body = {},
                 int budget_ms = 3000);

    /// @return Where the gateway serves consumers.
    endpoint front_of(std::size_t gateway) const;

    /// A call of the operator to a control instance. Follows two redirects.
    response operate(std::size_t control,
                     std::string const& method,
                     std::string const& target,
                     std::string const& body = {});

    /// Hands a submission in as consumers do: the same again after no answer,
    /// a 502 or 504, and after a 429 or 503, for ten seconds.
    ///
    /// @return True if it was accepted.
    bool submit(std::string const& id, nlohmann::json const& what);

    /// @return The state, or the status of another answer.
    std::string state_of(std::string const& id, std::size_t gateway = 0);

    /// @return A configuration with the queue `/jobs/` at host `queue.example`.
    static nlohmann::json configuration(int version, int attempts);

    std::size_t ended_programs();
    record& log();

private:
    std::string write_settings(std::string const& name,
                               std::string const& text) const;
    std::string seeds() const;
    endpoint control_at(std::size_t index, std::uint16_t offset) const;
    endpoint gateway_at(std::size_t index, std::uint16_t offset) const;

    deployment_options m_options;
    record& m_log;
    std::filesystem::path m_folder;
    std::uint16_t m_port = 0;
    fleet m_fleet;
    std::vector<std::unique_ptr<program>> m_controls;
    std::vector<std::unique_ptr<program>> m_gateways;
    std::vector<std::unique_ptr<program>> m_sidecars;
    std::vector<std::unique_ptr<minion>> m_minions;
};

/// @return The 16 digits of a submission's id.
std::string id_of(unsigned number);

/// @return True unless the variable TROUBLE is 0.
bool has_trouble();

/// @return False if the condition isn't met within the limit.
bool wait_until(int limit_ms, std::function<bool()> const& condition);

void pause_ms(int time);

} // namespace review

#endif
