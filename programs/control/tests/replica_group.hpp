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

/// Control instances in one process, without sockets. The test steps their
/// event loops, the clock and the delivery of messages.
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
    /// Stops the instance and drops all data that was not synced.
    void crash(std::size_t number);

    /// Advances the clock by a tick, ticks every instance, and delivers all
    /// messages and completes all writes that follow.
    void step();
    /// @return False when the condition does not hold within the steps.
    bool step_until(std::function<bool()> const& done, int steps = 1500);
    /// Runs the event loops until no task, write or message is pending, without
    /// advancing the clock.
    void drain();

    /// @return The number of an instance that leads and is not isolated; 0 if
    /// there is none.
    std::size_t leader();
    /// Steps until there is a leader.
    ///
    /// @return Its number, or 0 if none was elected.
    std::size_t wait_for_leader();

    /// Submits a job to an instance. The reply adds its id to `acknowledged` or
    /// a code to `refusals`.
    void submit(std::size_t number);
    /// Submits jobs to the leader and steps until `count` are acknowledged.
    bool submit_jobs_and_wait(int count);

    /// @return True when all running instances have all acknowledged jobs and
    /// equal states.
    bool has_converged();
    /// @return True if the instance has all acknowledged jobs.
    bool has_acknowledged(std::size_t number);

    std::vector<core::job_id> acknowledged;
    /// Codes of replies that were not `ok`.
    std::vector<core::result_code> refusals;
    core::time_point now{std::chrono::seconds(1)};
    /// Percentage of messages that are lost.
    std::uint64_t loss_percent = 0;
    /// Messages with payload are lost; the others arrive.
    bool loses_payload = false;
    /// Events of all instances.
    std::vector<core::event> events;
    core::random_source random = core::seeded_random(7);

private:
    replica_hooks make_hooks(instance& each);
    bool deliver();

    std::uint64_t m_snapshot_interval;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::vector<consensus::send> m_messages;
};

} // namespace turmericswitch::control::testing

#endif
