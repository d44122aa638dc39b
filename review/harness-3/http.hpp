#ifndef REVIEW_HARNESS_3_HTTP_HPP
#define REVIEW_HARNESS_3_HTTP_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review
{

/// An IPv4 address and port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;
};

std::string to_string(endpoint const& where);

struct request
{
    std::string method;
    std::string target;
    /// Names in lower case.
    std::map<std::string, std::string> fields;
    std::string body;
};

struct response
{
    /// 0 if there was no whole answer.
    int status = 0;
    std::map<std::string, std::string> fields;
    std::string body;
};

/// Sends a request on a connection of its own and waits for the answer.
response call(endpoint const& to, request const& what, int timeout_ms);

/// A connection that a client keeps open, as HTTP/1.1 clients do, until the
/// server closes it or a call gets no answer in time.
class kept_connection
{
public:
    explicit kept_connection(endpoint to);
    ~kept_connection();

    kept_connection(kept_connection const&) = delete;
    kept_connection& operator=(kept_connection const&) = delete;

    response call(request const& what, int timeout_ms);

private:
    endpoint m_to;
    int m_socket = -1;
    std::string m_rest;
};

/// A server with a thread for each connection.
class server
{
public:
    /// @return Nothing to leave the call without an answer: its connection
    ///         stays open until the client closes it.
    using handler = std::function<std::optional<response>(request const&)>;

    /// @throws std::runtime_error if the address is in use.
    server(endpoint const& where, handler serve);
    ~server();

    server(server const&) = delete;
    server& operator=(server const&) = delete;

private:
    void accept_connections();
    void serve_connection(int socket);

    handler m_serve;
    int m_listener = -1;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::atomic<int> m_threads = 0;
    std::thread m_thread;
};

} // namespace review

#endif
