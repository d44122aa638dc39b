#ifndef TURMERICSWITCH_LOAD_FIGURES_REQUEST_TALLY_HPP
#define TURMERICSWITCH_LOAD_FIGURES_REQUEST_TALLY_HPP

#include "load/schedule/schedule.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericswitch::load
{

/// Outcome of one send.
enum class send_outcome
{
    /// A complete success response with the id of this request.
    answered_whole,
    /// A success response without the id of this request, or any response
    /// with the id of another request.
    answered_wrong,
    /// A complete error response of the backend server.
    error_answer,
    /// Refused before it was executed.
    not_run,
    /// Refused because its idempotency key was already used.
    duplicate,
    outcome_unknown,
    /// No connection could be established.
    not_sent,
    /// The connection was lost, or the response timed out.
    lost,
};

/// Result of one planned send.
struct send_result
{
    send_outcome outcome = send_outcome::lost;
    /// From the due time to the end of the response, in milliseconds.
    double latency_ms = 0;
};

/// Executions by request id.
using execution_counts = std::map<std::string, std::uint64_t>;

/// Counts over all requests of a run.
struct request_tally
{
    std::uint64_t sent = 0;
    std::uint64_t answered_whole = 0;
    std::uint64_t answered_wrong = 0;
    std::uint64_t error_answers = 0;
    std::uint64_t not_run = 0;
    std::uint64_t duplicates_refused = 0;
    std::uint64_t outcome_unknown = 0;
    std::uint64_t connection_errors = 0;
    /// Requests with a refused send that were executed although the sends
    /// that were not refused don't account for it.
    std::uint64_t not_run_but_executed = 0;
    /// Non-idempotent requests executed more than once.
    std::uint64_t executed_twice = 0;
    /// Requests with a valid answer that no listed stand-in executed: the list
    /// of stand-ins is incomplete.
    std::uint64_t answered_not_executed = 0;
};

/// @param tag Distinguishes the run from others.
/// @param request Index of the request.
/// @return The request's X-Request-Id.
std::string request_id(std::string const& tag, std::size_t request);

/// @param results One per send, in the same order.
/// @param tag The run's tag, as in the request ids.
/// @param executed Executions by request id, summed over all stand-ins.
request_tally tally_requests(std::vector<planned_send> const& sends,
                             std::vector<send_result> const& results,
                             std::string const& tag,
                             execution_counts const& executed);

} // namespace turmericswitch::load

#endif
