#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_INTERFERENCE_MODEL_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_INTERFERENCE_MODEL_HPP

#include "core/types/units.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace turmericswitch::workflow
{

/// Processors that tasks of each image take, or will take, on a worker.
using cpu_by_image = std::map<std::string, core::millicores>;

/// Processor use of one image beside a serving task, as a share of the
/// worker's processors.
struct neighbour_use
{
    std::string image;
    double share = 0;
};

/// Learns how much tasks on spare time raise the tail latency of tasks that
/// serve, for each pair of images.
///
/// The logarithm of a tail relative to its target is modelled as a base of the
/// serving image plus a factor of each neighbour image times its use.
/// Recursive least squares with forgetting estimates both: tens of samples a
/// second arrive, most pairs matter little, and the factors shift with load.
class interference_model
{
public:
    /// Notes one sample.
    ///
    /// @param tail Tail latency as a multiple of its target, above 0.
    /// @return The logarithm of the tail less what the model expected.
    double learn(std::string const& serving,
                 double tail,
                 std::vector<neighbour_use> const& neighbours);

    /// @return By how much `neighbour` raises the logarithm of the serving
    ///         image's tail, never below 0.
    double effect(std::string const& serving,
                  neighbour_use const& neighbour) const;

    /// @return True if the pair was seen together often enough to trust its
    ///         effect.
    bool is_known(std::string const& serving,
                  std::string const& neighbour) const;

private:
    struct estimate
    {
        std::map<std::string, std::size_t> indices;
        /// Base first, then one factor for each known neighbour image.
        std::vector<double> factors;
        std::vector<std::vector<double>> covariance;
    };

    static std::size_t index_of(estimate& known, std::string const& image);
    static void add_dimension(estimate& known, double variance);

    std::map<std::string, estimate> m_estimates;
};

} // namespace turmericswitch::workflow

#endif
