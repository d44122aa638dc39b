#ifndef TURMERICSWITCH_LOAD_FIGURES_REQUEST_TALLY_HPP
#define TURMERICSWITCH_LOAD_FIGURES_REQUEST_TALLY_HPP

#include "load/schedule/schedule.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericswitch::load
{

/// How one send ended.
enum class send_end
{
    answered_whole,
    /// A success, or an answer with an id, that is not this request's own.
    answered_wrong,
    /// A complete answer that says the backend server failed.
    error_answer,
    not_run,
    /// A second request with a key that is already used.
    duplicate,
    outcome_unknown,
    /// Never connected.
    not_sent,
    /// The connection broke or the time ran out.
    lost,
};

/// Result of one planned send.
struct send_result
{
    send_end end = send_end::lost;
    /// From the time it was due, in milliseconds.
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
    /// Requests executed more often than the sends that were not refused
    /// allow.
    std::uint64_t not_run_but_executed = 0;
    /// Non-idempotent requests executed more than once.
    std::uint64_t executed_twice = 0;
    /// Requests answered whole without any execution on a stand-in; they
    /// show that the list of stand-ins is not complete.
    std::uint64_t answered_not_executed = 0;
};

/// @return The id of a request, unique among runs by its tag.
std::string request_id(std::string const& tag, std::size_t request);

/// @param results One per send, in the same order.
/// @param executed Sum over all stand-ins.
request_tally tally_requests(std::vector<planned_send> const& sends,
                             std::vector<send_result> const& results,
                             std::string const& tag,
                             execution_counts const& executed);

} // namespace turmericswitch::load

#endif
