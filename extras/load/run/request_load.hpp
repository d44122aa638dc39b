#ifndef TURMERICSWITCH_LOAD_RUN_REQUEST_LOAD_HPP
#define TURMERICSWITCH_LOAD_RUN_REQUEST_LOAD_HPP

#include "load/figures/request_tally.hpp"
#include "load/run/open_loop.hpp"
#include "web/web.hpp"

#include <string>
#include <vector>

namespace turmericswitch::load
{

/// Result of run_requests().
struct request_load_result
{
    /// One per send, in the same order.
    std::vector<send_result> results;
    send_delays delays;
};

/// @return The outcome of a send of the request with this id.
send_outcome classify(web::http_result const& result, std::string const& id);

/// @param id Value of X-Request-Id.
web::http_request build_request(scenario const& settings,
                                planned_send const& send,
                                std::string const& id);

/// Sends all requests at their due times and waits for the last answer.
///
/// @param tag Distinguishes the run's request ids from those of other runs.
request_load_result run_requests(scenario const& settings,
                                 std::vector<planned_send> const& sends,
                                 std::string const& tag);

} // namespace turmericswitch::load

#endif
