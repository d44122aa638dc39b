#ifndef TURMERICSWITCH_LOAD_RUN_REQUEST_LOAD_HPP
#define TURMERICSWITCH_LOAD_RUN_REQUEST_LOAD_HPP

#include "load/figures/request_tally.hpp"
#include "load/run/open_loop.hpp"
#include "web/web.hpp"

#include <string>
#include <vector>

namespace turmericswitch::load
{

/// Results of all sends, in the order of the plan.
struct request_load_result
{
    std::vector<send_result> results;
    punctuality timing;
};

/// @return How the send of the request `id` ended.
send_end classify(web::http_result const& result, std::string const& id);

/// @param id Its X-Request-Id.
web::http_request build_request(scenario const& settings,
                                planned_send const& send,
                                std::string const& id);

/// Sends everything and waits for the last answer.
request_load_result run_requests(scenario const& settings,
                                 std::vector<planned_send> const& sends,
                                 std::string const& tag);

} // namespace turmericswitch::load

#endif
