#ifndef TURMERICSWITCH_CLUSTER_STATE_LEADER_LEASE_TABLE_HPP
#define TURMERICSWITCH_CLUSTER_STATE_LEADER_LEASE_TABLE_HPP

#include "core/messages/jobs.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace turmericswitch::cluster_state
{

/// Durations of start permits and leases. All control instances must use the
/// same values.
struct lease_settings
{
    /// Validity of a start order; the worker refuses it afterwards. Bounds the
    /// time in which tasks still start in a zone that was taken out of service.
    core::duration permit = std::chrono::seconds(2);
    /// Lease of all tasks except services; longer than a short network
    /// partition between regions.
    core::duration batch_lease = std::chrono::minutes(3);
    /// Lease of service tasks. Longer than for batch tasks: a service that
    /// stops is noticed at once, and one that waits to be replaced keeps
    /// running in most cases.
    core::duration service_lease = std::chrono::minutes(10);
    /// Time after which a placement whose start order was never sent expires.
    core::duration unsent_start_timeout = std::chrono::seconds(5);
    /// Largest rate error of a clock against real time, in permille. Quartz
    /// clocks are far better; 1% covers virtual machines that slew their clock.
    std::int64_t drift_permille = 10;
    /// Time between two heartbeats of a worker.
    core::duration heartbeat_interval = std::chrono::milliseconds(400);
};

/// The leader's run leases per attempt and the last start permit per
/// availability zone. Every call except `begin_term` costs O(log tasks).
///
/// A worker counts a lease from the time at which it sent the heartbeat. The
/// leader counts from its answer, which is later, and adds the drift of both
/// clocks, so a lease never ends at the leader before it ends at the worker. An
/// expired attempt is never granted a lease again, because the command that
/// releases its resources may already be proposed.
class lease_table
{
public:
    explicit lease_table(lease_settings settings = {});

    /// Begins a term of leadership. Call it once the first entry of the own
    /// term has been applied. Every attempt held by then gets the longest
    /// lease, because an earlier leader may have granted a full one just before
    /// the election.
    ///
    /// @param held All attempts that hold resources of a worker.
    void begin_term(std::vector<core::held_task> const& held,
                    core::time_point now);

    /// Adds an attempt placed in the own term. Its start order is not sent yet,
    /// so it expires after `unsent_start_timeout` unless a lease is granted.
    void add_placement(core::held_task const& task, core::time_point now);
    /// Removes an attempt whose hold has ended.
    void remove(core::held_task const& task);

    /// @return The duration of a lease for a task of this priority.
    core::duration lease_for(core::priority_class priority) const noexcept;

    /// Records a lease. Must be called before the answer that grants it is
    /// sent.
    ///
    /// @return False if the attempt is unknown or expired; the lease must then
    /// not be granted.
    bool grant(core::held_task const& task,
               core::duration lease,
               core::time_point now);

    /// Records a start permit. Must be called before the answer that carries it
    /// is sent.
    void record_permit(core::zone_id const& zone, core::time_point now);

    /// @return The time from which no start order sent so far can start a task
    /// in the zone, clock drift included.
    core::time_point last_permit_expiry(core::zone_id const& zone) const;

    /// Marks all attempts as expired whose lease has ended, clock drift
    /// included.
    ///
    /// @return The expired attempts, for an `expire_leases` command. They are
    /// returned by every call until removed, as a proposal can be lost.
    std::vector<core::held_task> expire(core::time_point now);

    lease_settings const& settings() const noexcept;
    std::size_t size() const noexcept;

private:
    struct lease_record
    {
        core::time_point end;
        bool expired = false;
    };

    core::duration with_drift(core::duration counted) const noexcept;
    void set_end(core::held_task const& task, core::time_point end);

    lease_settings m_settings;
    std::map<core::held_task, lease_record> m_leases;
    std::set<std::pair<core::time_point, core::held_task>> m_by_end;
    std::map<core::zone_id, core::time_point> m_last_permit;
    core::time_point m_elected_at;
};

} // namespace turmericswitch::cluster_state

#endif
