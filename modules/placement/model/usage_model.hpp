#ifndef TURMERICSWITCH_PLACEMENT_MODEL_USAGE_MODEL_HPP
#define TURMERICSWITCH_PLACEMENT_MODEL_USAGE_MODEL_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"
#include "placement/model/interference_model.hpp"

#include <array>
#include <map>
#include <utility>

namespace turmericswitch::placement
{

/// Learns what tasks of a kind and team really use.
///
/// Use it to size a reservation. Every task contributes its demand so far, so
/// a long task with many small samples does not hide its one high sample.
class usage_model
{
public:
    /// @return True if the use is above the reservation by more than
    /// inaccurate measurement explains.
    static bool exceeds(std::int64_t used, std::int64_t reserved) noexcept;

    /// What a like task should reserve. The margin for peaks that no sample
    /// caught does not go beyond a reservation that was enough: tasks that
    /// use whatever they get would otherwise reserve more each time.
    ///
    /// @param peak Highest use so far.
    /// @param placed What the task reserved when it was placed.
    static core::resources demand(core::resources const& peak,
                                  core::resources const& placed,
                                  core::resources const& declared,
                                  bool is_batch);

    /// Moves one task's contribution from its earlier to its new demand.
    ///
    /// @param earlier Zero for the task's first sample.
    void change_demand(core::time_point now,
                       kind_index kind,
                       core::team_id const& team,
                       core::resources const& earlier,
                       core::resources const& demand);

    /// A task ran to its end, so its demand is known for certain.
    void finished(kind_index kind, core::team_id const& team);

    /// @return Processors and memory to reserve: the larger of declared and
    /// the observed high quantile of demands. Processors of batch go below
    /// the declaration once enough tasks were seen, because a processor that
    /// turns out to be missing only slows batch down. Memory can't be taken
    /// back without stopping a task, so it goes below the declaration only
    /// for batch (which can be evicted before the worker is full), only after
    /// enough tasks of the same kind and team ran to their end, and only to
    /// the highest of their demands. Accelerators never do.
    core::resources reservation(kind_index kind,
                                core::team_id const& team,
                                core::resources const& declared,
                                bool is_batch) const;

    /// @return Number of kinds and teams remembered.
    std::size_t size() const noexcept;

private:
    // Four buckets per doubling: 19 % resolution over 44 doublings.
    static constexpr std::size_t buckets = 176;
    using histogram = std::array<std::uint16_t, buckets>;

    struct demands
    {
        histogram cpu{};
        histogram memory{};
        /// Highest so far, exact: the upper bound of a bucket is up to 19 %
        /// above what was contributed.
        core::resources highest;
        std::uint32_t tasks = 0;
        std::uint32_t finished = 0;
        core::time_point updated{};
    };

    using key = std::pair<kind_index, std::string>;

    static std::size_t bucket_of(std::int64_t amount);
    static std::int64_t upper_bound_of(std::size_t bucket);
    static std::int64_t quantile_of(histogram const& counts, double share);
    static std::int64_t highest(histogram const& counts);
    static void move(histogram& counts, std::int64_t from, std::int64_t to);
    static void halve(demands& entry);

    void change_entry(core::time_point now,
                      key const& id,
                      core::resources const& earlier,
                      core::resources const& demand);
    demands const* best_known(kind_index kind, core::team_id const& team) const;

    std::map<key, demands> m_demands;
};

} // namespace turmericswitch::placement

#endif
