#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_INTERFERENCE_MODEL_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_INTERFERENCE_MODEL_HPP

#include "core/types/units.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericswitch::workflow
{

/// CPU that tasks of each image use, or are expected to use, on a worker.
using cpu_by_image = std::map<std::string, core::millicores>;

/// CPU use of one image on the worker of a serving task.
struct neighbour_use
{
    std::string image;
    /// Fraction of the worker's CPU capacity.
    double share = 0;
};

/// Learns for each pair of images how much a best-effort task raises the tail
/// latency of a serving task.
///
/// The logarithm of the tail latency relative to its target is modelled as a
/// base of the serving image plus, for each neighbour image, a factor times its
/// CPU use. Both are estimated by a Kalman filter in which each value drifts
/// with time. The drift does not depend on the number of samples, which grows
/// with the number of workers, and a pair that is not seen for a while only
/// becomes less certain.
class interference_model
{
public:
    /// Updates the model with one sample.
    ///
    /// @param now Not before that of the last sample.
    /// @param serving Image of the serving task.
    /// @param tail Tail latency as a multiple of its target, above 0.
    /// @return Prediction error: the logarithm of the tail minus the
    ///         prediction before the update.
    double learn(core::time_point now,
                 std::string const& serving,
                 double tail,
                 std::vector<neighbour_use> const& neighbours);

    /// @return The rise of the logarithm of the serving image's tail through
    ///         `neighbour`, at least 0.
    double effect(std::string const& serving,
                  neighbour_use const& neighbour) const;

    /// @return Time of the last sample of the serving image with the neighbour
    ///         at work beside it; `nullopt` if there is none.
    std::optional<core::time_point>
    last_sample(std::string const& serving, std::string const& neighbour) const;

    /// @return True if there were enough samples of the pair to trust its
    ///         effect.
    bool is_known(std::string const& serving,
                  std::string const& neighbour) const;

private:
    struct estimate
    {
        /// Index of each neighbour image in `factors`.
        std::map<std::string, std::size_t> indices;
        /// The base, followed by a factor for each known neighbour image.
        std::vector<double> factors;
        std::vector<std::vector<double>> covariance;
        /// Time of the last sample with each known neighbour image at work.
        std::map<std::string, core::time_point> sampled;
        /// Time of the last sample.
        core::time_point updated;
    };

    /// Neighbours of one sample by their index in `factors`, and their use.
    using indexed_uses = std::vector<std::pair<std::size_t, double>>;

    static std::size_t index_of(estimate& known, std::string const& image);
    static void add_dimension(estimate& known, double variance);
    static void add_drift(core::time_point now, estimate& known);
    static double
    correct(estimate& known, indexed_uses const& input, double observed);

    std::map<std::string, estimate> m_estimates;
};

} // namespace turmericswitch::workflow

#endif
