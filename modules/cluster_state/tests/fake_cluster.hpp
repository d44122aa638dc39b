#ifndef TURMERICSWITCH_CLUSTER_STATE_TESTS_FAKE_CLUSTER_HPP
#define TURMERICSWITCH_CLUSTER_STATE_TESTS_FAKE_CLUSTER_HPP

#include "cluster_state/cluster_state.hpp"
#include "core/hooks/random_source.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace turmericswitch::cluster_state
{

/// Simulates a leader with its volatile state, workers with drifting clocks,
/// and a network that loses, delays, duplicates and reorders messages.
/// Violations of invariants are collected as texts that start with the name of
/// the invariant. Times kept as plain integers are in microseconds.
class fake_cluster
{
public:
    explicit fake_cluster(std::uint64_t seed);

    /// Runs with faults for this time, then without faults for long enough that
    /// all jobs end.
    void run(core::duration with_faults);

    std::vector<std::string> const& violations() const noexcept;
    std::size_t finished() const;

private:
    struct fake_task
    {
        core::attempt_number attempt;
        core::resources reserved;
        std::int64_t lease_end = 0;
        std::int64_t progress = 0;
    };

    struct fake_worker
    {
        core::worker_description description;
        double clock_rate = 1;
        std::map<core::job_id, fake_task> tasks;
        /// Tasks of earlier incarnations; they run until their leases end.
        std::vector<std::pair<core::job_id, fake_task>> orphans;
        /// Latest attempt of each job that the worker knows; it refuses start
        /// orders up to this attempt.
        std::map<core::job_id, core::attempt_number> latest_attempts;
        std::vector<core::task_report> reports;
        std::uint64_t reported = 0;
        std::uint64_t acknowledged = 0;
        std::int64_t next_heartbeat = 0;
    };

    struct proposal
    {
        std::vector<core::command_body> commands;
        std::function<void()> then;
    };

    static std::int64_t
    progress_of(std::optional<core::checkpoint_id> const& checkpoint);
    std::uint64_t below(std::uint64_t limit);
    bool chance(std::uint64_t percent);
    std::int64_t local_time(fake_worker const& worker) const;
    core::time_point leader_now() const;
    void schedule(std::int64_t delay, std::function<void()> action);
    void deliver(std::function<void()> const& action);

    void propose(std::vector<core::command_body> commands,
                 std::function<void()> then);
    void apply(core::command_body body);
    /// Records when a zone goes out of service. Follows committed commands,
    /// also those of a leader that was deposed before it could answer.
    void track_zone(core::zone_id const& zone, core::zone_state state);
    void elect();

    void step();
    void inject_faults();
    void place_waiting_jobs();
    void submit_job();
    void set_zones(core::zone_state state);
    void step_worker(fake_worker& worker);
    void send_heartbeat(fake_worker& worker);
    void receive_heartbeat(core::heartbeat_request const& heartbeat);
    void receive_answer(std::size_t index,
                        core::incarnation life,
                        core::heartbeat_answer const& answer);
    void start(fake_worker& worker,
               core::start_order const& order,
               std::int64_t sent_at);
    void stop(fake_worker& worker, core::task_order const& order);
    void report(fake_worker& worker,
                core::held_task const& task,
                core::task_event event,
                std::optional<core::checkpoint_id> const& checkpoint = {});
    void restart(fake_worker& worker);
    void check_start(fake_worker const& worker, core::start_order const& order);
    void check_state();
    void add_violation(std::string const& invariant, core::job_id job);

    core::random_source m_random;
    lease_settings m_settings;
    std::int64_t m_now = 0;
    std::multimap<std::int64_t, std::function<void()>> m_events;
    bool m_faults = true;

    state_machine m_state;
    std::uint64_t m_index = 0;
    double m_leader_clock_rate = 1;
    lease_table m_leases;
    std::unique_ptr<heartbeat_service> m_service;
    std::map<std::uint64_t, proposal> m_pending;
    std::uint64_t m_proposals = 0;

    std::vector<fake_worker> m_workers;
    std::map<core::zone_id, std::int64_t> m_out_since;
    std::map<core::job_id, core::job_state> m_final_states;
    std::map<core::job_id, std::int64_t> m_progress;
    std::vector<std::string> m_violations;
};

} // namespace turmericswitch::cluster_state

#endif
