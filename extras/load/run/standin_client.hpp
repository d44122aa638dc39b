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
    /// How often each job finished, by name.
    execution_counts finished;
    std::uint64_t starts = 0;
    std::uint64_t evictions = 0;
    std::uint64_t permit_refusals = 0;
};

/// @return The body of a successful GET, or nothing; last_reason() names the
/// peer.
std::optional<std::string> fetch(core::endpoint const& peer,
                                 std::string const& target);

/// Adds the answer of a backend stand-in's `/standin/executions`.
///
/// @return False with request_malformed if it has another form.
bool add_backend_executions(std::string const& text, execution_counts& sum);

/// Adds the answer of a worker stand-in's `/standin/executions`.
///
/// @return False with request_malformed if it has another form.
bool add_worker_executions(std::string const& text, worker_executions& sum);

/// @return Nothing if one stand-in gave no valid answer.
std::optional<execution_counts>
fetch_backends(std::vector<core::endpoint> const& backends);

/// @return Nothing if one stand-in gave no valid answer.
std::optional<worker_executions>
fetch_workers(std::vector<core::endpoint> const& workers);

/// @param text Metrics in Prometheus text form.
/// @return The sum of all samples of the metric, with any labels; nothing if
/// there is none.
std::optional<double> metric_sum(std::string const& text,
                                 std::string_view metric);

} // namespace turmericswitch::load

#endif
