#ifndef TURMERICSWITCH_CONTROL_TESTS_REPLICA_GROUP_HPP
#define TURMERICSWITCH_CONTROL_TESTS_REPLICA_GROUP_HPP

#include "leader/leader_duties.hpp"
#include "node/recovery.hpp"
#include "support/fake_file_system.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace turmericswitch::control::testing
{

/// Control instances in one process without sockets. Their event loops, the
/// clock and the delivery of messages are run by hand.
class replica_group
{
public:
    /// Bootstraps members 1 to `size`.
    explicit replica_group(std::size_t size = 3,
                           std::uint64_t snapshot_interval = 10'000);
    ~replica_group();

    replica_group(replica_group const&) = delete;
    replica_group& operator=(replica_group const&) = delete;

    struct instance
    {
        control_settings settings;
        turmericswitch::testing::fake_file_system disk;
        std::unique_ptr<process::event_loop> loop;
        std::shared_ptr<leader_duties> duties;
        std::unique_ptr<replica> node;
        std::size_t transmitted = 0;
        bool isolated = false;
    };

    /// @param number Member id, from 1.
    instance& at(std::size_t number);
    replica& node(std::size_t number);

    /// Adds an instance; it is not started.
    instance& add();
    core::group_member member(std::size_t number) const;
    /// @return False with the reason when recovery failed.
    bool start(std::size_t number, start_mode mode);
    void stop(std::size_t number);
    /// Stops the instance and loses what was not synced.
    void crash(std::size_t number);

    /// One tick of every instance, and its messages and writes.
    void step();
    /// @return False when the condition does not hold within the steps.
    bool step_until(std::function<bool()> const& done, int steps = 1500);
    /// Runs the loops until nothing waits, without time passing.
    void drain();

    /// @return The number of an instance that leads and is not cut off; 0
    /// without one.
    std::size_t leader();
    /// Steps until there is a leader.
    std::size_t wait_for_leader();

    /// Submits a job at an instance. Its id is added to `acknowledged` when
    /// the reply says so.
    void submit(std::size_t number);
    /// Submits through the leader and steps until it is acknowledged.
    bool submit_jobs_and_wait(int count);

    /// @return True when all running instances have all acknowledged jobs and
    /// equal states.
    bool has_converged();
    bool has_acknowledged(std::size_t number);

    std::vector<core::job_id> acknowledged;
    /// Codes of replies that were not `ok`.
    std::vector<core::result_code> refusals;
    core::time_point now{std::chrono::seconds(1)};
    /// Share of messages lost, of 100.
    std::uint64_t loss_percent = 0;
    core::random_source random = core::seeded_random(7);

private:
    replica_hooks make_hooks(instance& each);
    bool deliver();

    std::uint64_t m_snapshot_interval;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::vector<core::consensus_message> m_messages;
};

} // namespace turmericswitch::control::testing

#endif
