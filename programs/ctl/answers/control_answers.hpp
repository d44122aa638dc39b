#ifndef TURMERICSWITCH_CTL_ANSWERS_CONTROL_ANSWERS_HPP
#define TURMERICSWITCH_CTL_ANSWERS_CONTROL_ANSWERS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::ctl
{

// The JSON answers of the control HTTP API as aggregates. Every parse function
// returns nothing with `message_malformed` as last reason when a required
// member is missing or has the wrong type.

/// Answer to a request that changes state.
struct write_result
{
    std::string text;
    std::uint64_t revision = 0;
    /// Author of the revision in force; set only on a revision conflict.
    std::string winner;
    /// Ids of the jobs that a submission created.
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
    /// Time until no start order can take effect in the zone any more; absent
    /// if the instance that answered is no longer the leader.
    std::optional<std::int64_t> quiet_in_ms;
};

struct process_view
{
    std::string name;
    /// Revision that the process has in force.
    std::uint64_t in_force = 0;
    /// Time since its last report.
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

struct member_status_view
{
    std::uint64_t id = 0;
    std::string rpc;
    std::string http;
    /// leader, voter or learner.
    std::string role;
    /// Entries of the leader that the member is not known to have.
    std::uint64_t lag = 0;
    /// It has answered this leader.
    bool answered = false;
    /// Time since its last answer; before the first one, since the leader began
    /// to send to it. Absent for the leader.
    std::optional<std::int64_t> answer_ms;
};

/// Members of the control group and the losses that it bears.
struct group_view
{
    std::uint64_t losses_borne = 0;
    std::vector<member_status_view> members;
};

struct status_view
{
    std::uint64_t term = 0;
    std::uint64_t commit_index = 0;
    std::uint64_t revision = 0;
    std::uint64_t workers = 0;
    std::uint64_t backends = 0;
    bool storage_failed = false;
    /// Empty if the storage works, or from a version without this.
    std::string storage_failure;
    std::optional<member_view> leader;
    /// Absent if the instance that answered is no longer the leader, or of a
    /// version without this.
    std::optional<group_view> group;
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

std::optional<write_result> parse_write_result(std::string const& body);
std::optional<rules_view> parse_rules(std::string const& body);
std::optional<std::vector<change_view>> parse_history(std::string const& body);
std::optional<status_view> parse_status(std::string const& body);
std::optional<std::vector<job_view>> parse_jobs(std::string const& body);
std::optional<job_view> parse_job(std::string const& body);
std::optional<std::vector<member_view>> parse_members(std::string const& body);

/// @return One line of text per decision, oldest first.
std::optional<std::vector<std::string>>
parse_decision_lines(std::string const& body);

} // namespace turmericswitch::ctl

#endif
