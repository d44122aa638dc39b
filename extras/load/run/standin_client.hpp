#ifndef TURMERICSWITCH_LOAD_RUN_STANDIN_CLIENT_HPP
#define TURMERICSWITCH_LOAD_RUN_STANDIN_CLIENT_HPP

#include "core/types/ids.hpp"
#include "load/figures/request_tally.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::load
{

/// Sum over worker stand-ins since their start.
struct worker_executions
{
    /// Number of finished executions by job name.
    execution_counts finished;
    std::uint64_t starts = 0;
    std::uint64_t evictions = 0;
    /// Start orders that arrived after their permit expired.
    std::uint64_t permit_refusals = 0;
};

/// Sends a GET request.
///
/// @return The body of the response with status 200, or nothing;
/// last_reason() then names the peer.
std::optional<std::string> fetch(core::endpoint const& peer,
                                 std::string const& target);

/// Parses a backend stand-in's answer to `/standin/executions` and adds it to
/// `sum`.
///
/// @return False with request_malformed if the answer is malformed.
bool add_backend_executions(std::string const& text, execution_counts& sum);

/// Parses a worker stand-in's answer to `/standin/executions` and adds it to
/// `sum`.
///
/// @return False with request_malformed if the answer is malformed.
bool add_worker_executions(std::string const& text, worker_executions& sum);

/// @return Executions by request id, summed over the stand-ins, or nothing if
/// one of them gave no valid answer.
std::optional<execution_counts>
fetch_backends(std::vector<core::endpoint> const& backends);

/// @return The sum over the stand-ins, or nothing if one of them gave no valid
/// answer.
std::optional<worker_executions>
fetch_workers(std::vector<core::endpoint> const& workers);

/// @param text Metrics in the Prometheus text format.
/// @return The sum of the metric's samples over all labels, or nothing if there
/// is no sample.
std::optional<double> metric_sum(std::string const& text,
                                 std::string_view metric);

} // namespace turmericswitch::load

#endif
