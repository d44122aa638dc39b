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

/// Durations of permits and leases. All instances use the same values.
struct lease_settings
{
    /// A start order is refused by the worker after this. Bounds the time in
    /// which tasks still start in a zone taken out.
    core::duration permit = std::chrono::seconds(2);
    /// Longer than a short split between regions.
    core::duration batch_lease = std::chrono::minutes(3);
    /// Longer again: a service that stops is noticed at once, a service that
    /// waits to be replaced runs on meanwhile in most cases.
    core::duration service_lease = std::chrono::minutes(10);
    /// A placement whose start order was never sent is given up after this.
    core::duration unsent_start_timeout = std::chrono::seconds(5);
    /// Largest difference of rate between a clock and real time. Quartz is
    /// far better; 1% covers virtual machines that slew their clock.
    std::int64_t drift_permille = 10;
    core::duration heartbeat_interval = std::chrono::milliseconds(400);
};

/// The leader's record of run leases per attempt and of start permits per
/// availability zone. Every call costs O(log tasks) but for `elected`.
///
/// A worker counts a lease from the time at which it sent the heartbeat; the
/// leader counts from its answer, which is later, and adds the drift of both
/// clocks. So the leader's end is never before the worker's. Once an attempt
/// is given up it is never granted again, because the command that frees it
/// may already be on its way.
class lease_table
{
public:
    explicit lease_table(lease_settings settings = {});

    /// Starts a term of leadership. Call it when the first entry of the own
    /// term has been applied: every attempt held by then may have been
    /// granted a full lease by an earlier leader just before the election.
    ///
    /// @param held All attempts that hold a share of a worker.
    void begin_term(std::vector<core::held_task> const& held,
                    core::time_point now);

    /// Follows the state machine's holds in the own term. An attempt placed
    /// in the own term has no order sent yet, so it ends early until granted.
    void add_placement(core::held_task const& task, core::time_point now);
    void remove(core::held_task const& task);

    /// @return The lease of a task with this priority.
    core::duration lease_for(core::priority_class priority) const noexcept;

    /// Records a lease before the answer that grants it is sent.
    ///
    /// @return False if the attempt is unknown or given up; it must then not
    /// be granted.
    bool grant(core::held_task const& task,
               core::duration lease,
               core::time_point now);

    /// Records a start permit before the answer that carries it is sent.
    void record_permit(core::zone_id const& zone, core::time_point now);

    /// @return The earliest time from which no start order sent so far can
    /// start a task in the zone.
    core::time_point last_permit_expiry(core::zone_id const& zone) const;

    /// Gives up all attempts whose lease has ended, drift included.
    ///
    /// @return Those attempts, for `expire_leases`. They are returned again
    /// on every call until released, as a proposal can be lost.
    std::vector<core::held_task> expire(core::time_point now);

    lease_settings const& settings() const noexcept;
    std::size_t size() const noexcept;

private:
    struct granted
    {
        core::time_point end;
        bool expired = false;
    };

    core::duration with_drift(core::duration counted) const noexcept;
    void set_end(core::held_task const& task, core::time_point end);

    lease_settings m_settings;
    std::map<core::held_task, granted> m_leases;
    std::set<std::pair<core::time_point, core::held_task>> m_by_end;
    std::map<core::zone_id, core::time_point> m_last_permit;
    core::time_point m_elected_at;
};

} // namespace turmericswitch::cluster_state

#endif
