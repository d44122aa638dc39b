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

/// Learns what tasks of a kind and team really use, to size reservations.
///
/// Every task contributes one value, its demand so far, so that many low
/// samples of a long task don't hide a single high one.
class usage_model
{
public:
    /// @return True if the use exceeds the reservation by more than the
    /// measurement error.
    static bool exceeds(std::int64_t used, std::int64_t reserved) noexcept;

    /// Computes what a similar task should reserve. The margin for peaks
    /// between samples does not exceed a reservation that was sufficient:
    /// otherwise the reservations of tasks that use whatever they get would
    /// grow with each task.
    ///
    /// @param peak Highest use so far.
    /// @param initial_reservation Reservation of the task at placement.
    static core::resources demand(core::resources const& peak,
                                  core::resources const& initial_reservation,
                                  core::resources const& declared,
                                  bool is_batch);

    /// Replaces one task's contribution by its new demand.
    ///
    /// @param earlier Zero for the task's first sample.
    void update_demand(core::time_point now,
                       kind_index kind,
                       core::team_id const& team,
                       core::resources const& earlier,
                       core::resources const& demand);

    /// Counts a task that ran to its end, so that its demand is final.
    void finished(kind_index kind, core::team_id const& team);

    /// Returns the resources to reserve: the larger of the declaration and
    /// the observed high quantile of demands.
    ///
    /// Batch may reserve fewer processors than declared once enough tasks were
    /// seen, because a shortage of processors only slows batch down. Memory
    /// can't be taken back without stopping a task, so only batch, which can
    /// be evicted before the worker is full, may reserve less of it than
    /// declared; and only after enough tasks of the same kind and team ran to
    /// their end, and no less than the highest of their demands. Accelerators
    /// are always reserved as declared.
    core::resources reservation(kind_index kind,
                                core::team_id const& team,
                                core::resources const& declared,
                                bool is_batch) const;

    /// @return Number of learned pairs of kind and team.
    std::size_t size() const noexcept;

private:
    // Four buckets per power of two: 19 % resolution over 44 powers of two.
    static constexpr std::size_t buckets = 176;
    using histogram = std::array<std::uint16_t, buckets>;

    struct demand_histograms
    {
        histogram cpu{};
        histogram memory{};
        /// Highest demand so far, exact; the upper bound of its bucket may be
        /// up to 19 % higher.
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
    static void halve(demand_histograms& entry);

    void update_entry(core::time_point now,
                      key const& id,
                      core::resources const& earlier,
                      core::resources const& demand);
    demand_histograms const* best_known(kind_index kind,
                                        core::team_id const& team) const;

    std::map<key, demand_histograms> m_demands;
};

} // namespace turmericswitch::placement

#endif
