#ifndef TURMERICSWITCH_PLACEMENT_MODEL_INTERFERENCE_MODEL_HPP
#define TURMERICSWITCH_PLACEMENT_MODEL_INTERFERENCE_MODEL_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace turmericswitch::placement
{

/// Index of an interned task kind.
using kind_index = std::uint32_t;

/// A task beside another one, with its share of the worker's processors.
struct occupant
{
    core::job_id job;
    kind_index kind = 0;
    double share = 0;
};

/// Learns how much each kind of task slows down each other kind.
///
/// Use it to predict the slowdown of a task from its neighbours. The excess
/// slowdown is the sum, over neighbours, of a weight per ordered pair of kinds
/// and load band times the neighbour's share of the worker. Each weight keeps
/// a variance: an error is attributed mostly to uncertain weights (diagonal
/// Kalman update), and the variance grows again with time, so that old
/// knowledge gives way to new measurements.
class interference_model
{
public:
    /// @param load Processor share in use on the worker, 0 to 1 and above.
    /// @return The excess slowdown that a share of an aggressor causes.
    double contribution(kind_index victim,
                        kind_index aggressor,
                        double share,
                        double load) const;

    /// Learns from one measurement.
    ///
    /// @param measured_at When the slowdown was in effect.
    /// @param others The neighbours at that time.
    /// @param slowdown 1 means none.
    void learn(core::time_point measured_at,
               kind_index victim,
               std::vector<occupant> const& others,
               double load,
               double slowdown);

    /// @return 0 for an unknown pair, towards 1 for a well-measured one.
    double confidence(core::time_point now,
                      kind_index victim,
                      kind_index aggressor,
                      double load) const;

    /// @return Number of pairs and load bands that were measured.
    std::size_t size() const noexcept;

private:
    struct weight
    {
        double value;
        double variance;
        core::time_point updated;
    };

    static std::uint64_t
    key(kind_index victim, kind_index aggressor, double load);
    weight& entry(std::uint64_t id, core::time_point now);
    void drop_oldest();

    std::unordered_map<std::uint64_t, weight> m_weights;
};

} // namespace turmericswitch::placement

#endif
