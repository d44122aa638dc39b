#ifndef TURMERICSWITCH_WIRE_JSON_JOB_JSON_HPP
#define TURMERICSWITCH_WIRE_JSON_JOB_JSON_HPP

#include "core/messages/jobs.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::wire
{

/// Largest number of jobs in one submission or cancellation.
constexpr std::size_t max_jobs_per_call = 10'000;

/// @return The JSON text of a submission: `{"jobs": [...]}`.
std::string jobs_to_json(std::vector<core::job_description> const& jobs);

/// Parses a submission. Names, teams and kinds must not be empty, and resource
/// amounts must not be negative.
///
/// @return The jobs, or nothing; last_reason() then has `job_invalid`.
std::optional<std::vector<core::job_description>>
jobs_from_json(std::string_view text);

/// Parses a list of job ids: `{"jobs": [1, 2]}`.
///
/// @return The ids, or nothing; last_reason() then has `job_invalid`.
std::optional<std::vector<core::job_id>>
job_ids_from_json(std::string_view text);

/// @return The time in UTC, rounded down to seconds, such as
/// `2026-01-31T06:00:00Z`.
std::string wall_time_to_text(core::wall_time time);

/// @return The time, or nothing when the text has another format.
std::optional<core::wall_time> wall_time_from_text(std::string const& text);

} // namespace turmericswitch::wire

#endif
