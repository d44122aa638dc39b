#ifndef TURMERICSWITCH_CTL_TESTS_FAKE_CONTROL_HPP
#define TURMERICSWITCH_CTL_TESTS_FAKE_CONTROL_HPP

#include "run/ctl_run.hpp"
#include "web/web.hpp"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace turmericswitch::ctl
{

/// Operations applied by a group of fake instances.
struct applied_operations
{
    std::mutex mutex;
    std::set<std::string> names;
    std::size_t count = 0;
};

/// One control instance on a real HTTP port with scripted answers.
class fake_control
{
public:
    fake_control();

    /// Forgets all requests and answers.
    void reset(applied_operations* applied);

    core::endpoint where() const;

    /// Adds an answer for a request such as "GET /v1/status". The answers of
    /// one request are used in order, the last one for ever.
    void answer(std::string const& line,
                std::string const& body,
                std::uint16_t status = 200);
    /// Applies the request, then sends an answer above the client's limit, so
    /// that the client loses it.
    void lose_answer(std::string const& line);
    /// Answers 421, with Location if a leader is given.
    void redirect(std::string const& line,
                  core::endpoint const* leader = nullptr);

    /// @return "METHOD target" of every request.
    std::vector<std::string> lines() const;
    /// @return The body of the last request.
    std::string last_body() const;
    /// @return Member `operation` of every request that had one.
    std::vector<std::string> operations() const;

private:
    web::http_response handle(web::http_request const& request);

    mutable std::mutex m_mutex;
    std::map<std::string, std::deque<web::http_response>> m_answers;
    std::vector<web::http_request> m_seen;
    applied_operations* m_applied = nullptr;
    std::unique_ptr<web::http_server> m_server;
};

/// @return A reset instance; all numbers live together. They are shared by
/// the tests, because stopping a server takes CivetWeb 2 s.
/// @param number 0 to 2.
fake_control& fresh_control(std::size_t number,
                            applied_operations* applied = nullptr);

/// Refuses connections: no service listens on the port of tcpmux.
inline core::endpoint const dead_instance{"127.0.0.1", 1};

/// Result of one invocation.
struct run_result
{
    int status = 0;
    std::string out;
    std::string err;
};

/// Runs ctl with a clock that only moves when ctl waits.
run_result run(std::vector<std::string> const& words);
/// As above, with --control and --author.
run_result run_against(std::vector<core::endpoint> const& instances,
                       std::vector<std::string> words);
run_result run_on(fake_control const& instance, std::vector<std::string> words);

bool has(std::string const& text, std::string const& part);

} // namespace turmericswitch::ctl

#endif
