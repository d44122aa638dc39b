#ifndef TURMERICSWITCH_CONTROL_TESTS_PLANNER_SYNC_FIXTURE_HPP
#define TURMERICSWITCH_CONTROL_TESTS_PLANNER_SYNC_FIXTURE_HPP

#include "core/hooks/random_source.hpp"
#include "leader/planner_sync.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmericswitch::control::testing
{

core::resources amount(std::int64_t cpu, std::int64_t memory);

/// A state machine, a planner_sync with the real planner, and a clock.
/// Commands are applied at once; the batch of a tick is applied or rejected on
/// request. Violated invariants are collected as texts.
class planner_sync_fixture
{
public:
    explicit planner_sync_fixture(std::uint64_t seed = 1);

    core::command_reply apply(core::command_body body);
    core::job_id submit(core::resources const& declared,
                        std::string const& kind = "k");
    void add_worker(std::string const& name,
                    std::string const& zone = "a",
                    core::resources const& capacity = amount(8000, 8000));
    void report(core::job_id job, core::task_event event);
    void set_zone(std::string const& zone, core::zone_state state);

    /// Advances the clock, passes on a heartbeat of every worker that is not
    /// silent, and ticks.
    placement::tick_decisions
    tick(core::duration step = std::chrono::milliseconds(100));
    void apply_batch();
    void reject_batch();
    /// Ticks and applies batches until the job is placed, at most `ticks`
    /// times.
    bool place(core::job_id job, int ticks = 50);

    /// Creates a new planner_sync from the state, as a new leader does. A
    /// pending batch of the old leader is applied first or lost, at random.
    void replace_leader();

    /// Applies random commands with random faults: silent workers, rejected
    /// batches, expired leases and changes of the leader.
    void apply_random_events(int steps);
    /// Ends all faults and runs until all jobs have ended. A job that still
    /// waits after `ticks` is a violation.
    void finish_all_jobs(int ticks);

    core::job_record const& job(core::job_id id) const;
    void check();

    cluster_state::state_machine state;
    std::unique_ptr<planner_sync> planner;
    std::set<core::worker_id> silent;
    std::vector<std::string> violations;
    core::time_point now{std::chrono::seconds(1)};

private:
    std::uint64_t below(std::uint64_t limit);
    void random_event();
    void random_worker_event();
    void random_report();
    void check_dropped(core::placement_batch const& batch);

    core::random_source m_random;
    std::uint64_t m_index = 0;
    std::uint64_t m_reported = 0;
    std::optional<core::placement_batch> m_batch;
};

} // namespace turmericswitch::control::testing

#endif
