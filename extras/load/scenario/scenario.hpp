#ifndef TURMERICSWITCH_LOAD_SCENARIO_SCENARIO_HPP
#define TURMERICSWITCH_LOAD_SCENARIO_SCENARIO_HPP

#include "core/messages/jobs.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::load
{

/// Requests of callers. Shares are from 0 to 1.
struct request_settings
{
    std::string path;
    /// POST without a key, non-idempotent.
    double share_write = 0;
    /// POST with an Idempotency-Key.
    double share_keyed = 0;
    /// Part of the keyed requests that is sent a second time.
    double share_resend = 0;
    std::size_t body_bytes = 0;
    /// Work asked of the backend server, log-normal, mean in milliseconds.
    double work_mean_ms = 0;
    double work_sigma = 0;
};

/// One kind of job; jobs take the kinds in turn.
struct job_kind
{
    std::string name;
    core::team_id team;
    core::priority_class priority = core::priority_class::batch;
    core::resources declared;
    /// Real run time, told to the worker stand-in.
    core::duration run_time{};
    /// Run time told to control.
    core::duration expected_run_time{};
};

struct job_settings
{
    std::vector<core::endpoint> control;
    std::size_t count = 0;
    /// Submissions per second.
    double rate = 0;
    std::vector<job_kind> kinds;
    /// From the submission.
    std::optional<core::duration> deadline;
    /// How long to wait for the last jobs after the load.
    core::duration wait_limit{};
};

/// A daemon whose use of processor and memory is reported.
struct daemon_process
{
    std::string name;
    std::int64_t pid = 0;
};

/// One measurement, read from an INI file.
struct scenario
{
    std::vector<core::endpoint> gateways;
    /// Includes the warm-up.
    core::duration duration{};
    /// Requests due before this time are checked but not timed.
    core::duration warm_up{};
    std::uint64_t seed = 0;
    /// Requests per second, 0 for none.
    double rate = 0;
    std::size_t threads = 0;
    core::duration timeout{};
    /// Wait between the last answer and the count of executions, so that
    /// requests whose answer was lost end first.
    core::duration settle{};
    request_settings requests;
    std::optional<job_settings> jobs;
    std::vector<core::endpoint> backends;
    std::vector<core::endpoint> workers;
    std::vector<daemon_process> daemons;
};

/// @param file Name shown in errors.
/// @param text Content of the INI file.
/// @return The scenario, or nothing with all errors, one per line, as last
/// reason.
std::optional<scenario> parse_scenario(std::string const& file,
                                       std::string const& text);

/// As parse_scenario(), from a file.
std::optional<scenario> load_scenario(std::string const& path);

} // namespace turmericswitch::load

#endif
