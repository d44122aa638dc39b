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
/// Use it to size a reservation. Every task contributes its peak so far, so a
/// long task with many small samples does not hide its one high sample.
class usage_model
{
public:
    /// Moves one task's contribution from its earlier to its new peak.
    ///
    /// @param earlier Zero for the task's first sample.
    void raise_peak(core::time_point now,
                    kind_index kind,
                    core::team_id const& team,
                    core::resources const& earlier,
                    core::resources const& peak);

    /// A task ran to its end, so its peak is known for certain.
    void finished(kind_index kind, core::team_id const& team);

    /// @return Processors and memory to reserve: the larger of declared and
    /// the observed high quantile with margin. Processors of batch go below
    /// the declaration once enough tasks were seen, because a processor that
    /// turns out to be missing only slows batch down. Memory can't be taken
    /// back without stopping a task, so it goes below the declaration only
    /// for batch (which can be evicted before the worker is full), only after
    /// enough tasks of the same kind and team ran to their end, and only to
    /// the highest of their peaks with a wider margin. Accelerators never do.
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

    struct peaks
    {
        histogram cpu{};
        histogram memory{};
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
    static void halve(peaks& entry);

    void raise_entry(core::time_point now,
                     key const& id,
                     core::resources const& earlier,
                     core::resources const& peak);
    peaks const* best_known(kind_index kind, core::team_id const& team) const;

    std::map<key, peaks> m_peaks;
};

} // namespace turmericswitch::placement

#endif
