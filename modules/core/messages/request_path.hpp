#ifndef TURMERICSWITCH_CORE_MESSAGES_REQUEST_PATH_HPP
#define TURMERICSWITCH_CORE_MESSAGES_REQUEST_PATH_HPP

#include "core/results/result_code.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <string>
#include <vector>

namespace turmericswitch::core
{

struct http_field
{
    std::string name;
    std::string value;

    bool operator==(http_field const&) const = default;
};

/// What the caller sent, as forwarded to a backend server.
struct request_content
{
    std::string method;
    std::string target;
    std::vector<http_field> fields;
    std::string body;

    bool operator==(request_content const&) const = default;
};

/// What the backend server answered.
struct answer_content
{
    std::uint16_t status = 0;
    std::vector<http_field> fields;
    std::string body;

    bool operator==(answer_content const&) const = default;
};

/// `/attempt`: asks a sidecar to run a request.
struct attempt_request
{
    attempt_id id;
    service_id service;
    request_content content;
    /// Time left until the caller's deadline when the gateway sent this.
    duration remaining{};
    bool idempotent = false;
    /// Revision at which the routes of the service last changed.
    revision service_revision;

    bool operator==(attempt_request const&) const = default;
};

enum class attempt_outcome : std::uint8_t
{
    /// The backend server answered; `answer` is whole.
    ran,
    /// The request did not reach the backend server and never will.
    not_run,
    /// The request reached the backend server and no whole answer came back.
    unknown,
};

/// Answer to `/attempt`.
struct attempt_answer
{
    attempt_id id;
    attempt_outcome outcome = attempt_outcome::not_run;
    result_code code = result_code::ok;
    answer_content answer;
    /// Size of `answer.body` when the sidecar sent it.
    std::uint64_t body_size = 0;
    /// Slots and queue places in use at the backend server.
    std::uint32_t in_use = 0;
    /// Configuration revision in force at the sidecar.
    revision sidecar_revision;

    bool operator==(attempt_answer const&) const = default;
};

/// `/cancel`: cancels an attempt that has not started.
struct cancel_request
{
    attempt_id id;

    bool operator==(cancel_request const&) const = default;
};

enum class cancel_outcome : std::uint8_t
{
    /// The attempt did not run and a late copy will be refused.
    cancelled,
    running,
    finished,
    wrong_incarnation,
};

/// Answer to `/cancel`.
struct cancel_answer
{
    attempt_id id;
    cancel_outcome outcome = cancel_outcome::cancelled;

    bool operator==(cancel_answer const&) const = default;
};

} // namespace turmericswitch::core

#endif
