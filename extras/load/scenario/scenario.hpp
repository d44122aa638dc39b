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

/// Mix of the requests that are sent. Shares are from 0 to 1.
struct request_settings
{
    std::string path;
    /// Share of non-idempotent requests: POST without an Idempotency-Key.
    double share_write = 0;
    /// Share of POST requests with an Idempotency-Key.
    double share_keyed = 0;
    /// Share of the keyed requests that are sent a second time.
    double share_resend = 0;
    std::size_t body_bytes = 0;
    /// Mean of the log-normally distributed work that a request asks of the
    /// backend server, in milliseconds.
    double work_mean_ms = 0;
    /// Standard deviation of the logarithm of the work.
    double work_sigma = 0;
};

/// One kind of job. Successive jobs cycle through the kinds.
struct job_kind
{
    std::string name;
    core::team_id team;
    core::priority_class priority = core::priority_class::batch;
    core::resources declared;
    /// Actual run time; the worker stand-in reads it from the payload.
    core::duration run_time{};
    /// Run time that the job description states to control.
    core::duration expected_run_time{};
};

struct job_settings
{
    std::vector<core::endpoint> control;
    std::size_t count = 0;
    /// Submissions per second.
    double rate = 0;
    std::vector<job_kind> kinds;
    /// Counted from the submission.
    std::optional<core::duration> deadline;
    /// How long to wait after the load for the jobs to end.
    core::duration wait_limit{};
};

/// A daemon whose processor and memory usage is reported.
struct daemon_process
{
    std::string name;
    std::int64_t pid = 0;
};

/// Settings of one run, read from an INI file.
struct scenario
{
    std::vector<core::endpoint> gateways;
    /// Time in which requests are sent, including the warm-up.
    core::duration duration{};
    /// Requests due before this time are checked, but left out of latency and
    /// goodput.
    core::duration warm_up{};
    std::uint64_t seed = 0;
    /// Requests per second, 0 for none.
    double rate = 0;
    std::size_t threads = 0;
    core::duration timeout{};
    /// Wait between the last answer and the reading of execution counts, so
    /// that requests whose answer was lost have ended.
    core::duration settle{};
    request_settings requests;
    std::optional<job_settings> jobs;
    std::vector<core::endpoint> backends;
    std::vector<core::endpoint> workers;
    std::vector<daemon_process> daemons;
};

/// @param file Name shown in errors.
/// @param text Content of the INI file.
/// @return The scenario, or nothing; last_reason() then has all errors, one
/// per line.
std::optional<scenario> parse_scenario(std::string const& file,
                                       std::string const& text);

/// Reads and parses a scenario file, with errors as in parse_scenario().
/// Fails with io_failed if the file can't be read.
std::optional<scenario> load_scenario(std::string const& path);

} // namespace turmericswitch::load

#endif
