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

/// A task on a worker, with its share of the worker's processors.
struct occupant
{
    core::job_id job;
    kind_index kind = 0;
    double share = 0;
};

/// Learns how much each kind of task slows down each other kind.
///
/// Predicts the slowdown of a task from the other tasks on its worker. The
/// excess slowdown is the sum, over the other tasks, of a weight per ordered
/// pair of kinds and load band times the other task's share of the worker.
/// Each weight has a variance: a prediction error corrects mostly the uncertain
/// weights (diagonal Kalman update), and the variance grows with time, so that
/// new measurements replace old ones.
class interference_model
{
public:
    /// @param share Share of the worker's processors that the aggressor has.
    /// @param load Share of all processors in use on the worker; 1 when full.
    /// @return The excess slowdown that the aggressor causes; 0 means none.
    double contribution(kind_index victim,
                        kind_index aggressor,
                        double share,
                        double load) const;

    /// Learns from one measurement.
    ///
    /// @param measured_at When the slowdown was measured.
    /// @param others Other tasks on the worker at that time.
    /// @param slowdown Factor on the run time; 1 means no slowdown.
    void learn(core::time_point measured_at,
               kind_index victim,
               std::vector<occupant> const& others,
               double load,
               double slowdown);

    /// @return 0 for an unknown pair, close to 1 for one measured often.
    double confidence(core::time_point now,
                      kind_index victim,
                      kind_index aggressor,
                      double load) const;

    /// @return Number of learned weights, one per pair of kinds and load band.
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
