#ifndef TURMERICSWITCH_CTL_ANSWERS_CONTROL_ANSWERS_HPP
#define TURMERICSWITCH_CTL_ANSWERS_CONTROL_ANSWERS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::ctl
{

// Control's JSON answers as aggregates. Every parse function returns nothing
// with `message_malformed` as last reason when a member is missing or wrong.

/// Answer to a write.
struct write_reply
{
    std::string text;
    std::uint64_t revision = 0;
    /// Author of the revision in force, after a conflict.
    std::string winner;
    std::vector<std::uint64_t> jobs;
};

struct rules_view
{
    std::uint64_t revision = 0;
    std::string text;
};

struct change_view
{
    std::uint64_t revision = 0;
    std::string author;
    std::string requested_by;
    std::string time;
    std::string change;
};

struct zone_view
{
    std::string zone;
    std::string region;
    std::string state;
    /// Absent when the instance that answered leads no more.
    std::optional<std::int64_t> quiet_in_ms;
};

struct process_view
{
    std::string name;
    std::uint64_t in_force = 0;
    std::int64_t age_ms = 0;
};

struct state_count
{
    std::string state;
    std::uint64_t count = 0;
};

struct member_view
{
    std::uint64_t id = 0;
    std::string rpc;
    std::string http;
    bool learner = false;
};

struct status_view
{
    std::uint64_t term = 0;
    std::uint64_t commit_index = 0;
    std::uint64_t revision = 0;
    std::uint64_t workers = 0;
    std::uint64_t backends = 0;
    bool storage_failed = false;
    std::optional<member_view> leader;
    std::vector<zone_view> zones;
    std::vector<state_count> jobs;
    std::vector<process_view> processes;
};

struct job_view
{
    std::uint64_t id = 0;
    std::string name;
    std::string team;
    std::string kind;
    std::string state;
    std::uint64_t attempt = 0;
    std::uint64_t failures = 0;
    std::string worker;
    std::string last_worker;
    std::string checkpoint;
    std::string code_name;
    std::string reason;
};

std::optional<write_reply> parse_write_reply(std::string const& body);
std::optional<rules_view> parse_rules(std::string const& body);
std::optional<std::vector<change_view>> parse_history(std::string const& body);
std::optional<status_view> parse_status(std::string const& body);
std::optional<std::vector<job_view>> parse_jobs(std::string const& body);
std::optional<job_view> parse_job(std::string const& body);
std::optional<std::vector<member_view>> parse_members(std::string const& body);

/// @return The lines of the decisions, oldest first.
std::optional<std::vector<std::string>>
parse_decision_lines(std::string const& body);

} // namespace turmericswitch::ctl

#endif
