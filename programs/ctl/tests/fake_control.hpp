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

/// Operations applied by fake instances that act as one control group.
struct applied_operations
{
    std::mutex mutex;
    /// Names of the applied operations.
    std::set<std::string> names;
    /// Applied writes; a repeated operation name is not counted again.
    std::size_t count = 0;
};

/// A control instance with scripted answers on a real HTTP port.
class fake_control
{
public:
    fake_control();

    /// Discards all recorded requests and scripted answers.
    ///
    /// @param applied Counts the requests answered with status 200, if not
    /// null.
    void reset(applied_operations* applied);

    core::endpoint endpoint() const;

    /// Adds an answer for a request such as "GET /v1/status". The answers of
    /// one request are used in order, and the last one is repeated.
    void answer(std::string const& request_line,
                std::string const& body,
                std::uint16_t status = 200);
    /// Applies the request, but sends an answer above the size limit of the
    /// HTTP client, so that the client treats the answer as lost.
    void lose_answer(std::string const& request_line);
    /// Answers 421, with Location if a leader is given.
    void redirect(std::string const& request_line,
                  core::endpoint const* leader = nullptr);

    /// @return "METHOD target" of every request.
    std::vector<std::string> request_lines() const;
    /// @return The body of the last request.
    std::string last_body() const;
    /// @return The operation name of every request that has one.
    std::vector<std::string> operations() const;

private:
    web::http_response handle(web::http_request const& request);

    mutable std::mutex m_mutex;
    std::map<std::string, std::deque<web::http_response>> m_answers;
    std::vector<web::http_request> m_requests;
    applied_operations* m_applied = nullptr;
    std::unique_ptr<web::http_server> m_server;
};

/// Resets one of three instances that run at the same time. All tests share
/// them because CivetWeb takes 2 s to stop a server.
///
/// @param number 0 to 2.
fake_control& reset_instance(std::size_t number,
                             applied_operations* applied = nullptr);

/// Refuses connections: nothing listens on port 1 (tcpmux).
inline core::endpoint const unreachable_instance{"127.0.0.1", 1};

/// Exit status and output of one invocation.
struct run_result
{
    int status = 0;
    std::string out;
    std::string err;
};

/// Runs ctl with a simulated clock that advances only when ctl waits.
run_result run(std::vector<std::string> const& words);
/// Runs ctl with --control for these instances and with --author.
run_result run_against(std::vector<core::endpoint> const& instances,
                       std::vector<std::string> words);
run_result run_on(fake_control const& instance, std::vector<std::string> words);

bool contains(std::string const& text, std::string const& part);

} // namespace turmericswitch::ctl

#endif
