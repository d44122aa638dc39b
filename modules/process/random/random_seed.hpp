#ifndef TURMERICSWITCH_PROCESS_RANDOM_RANDOM_SEED_HPP
#define TURMERICSWITCH_PROCESS_RANDOM_RANDOM_SEED_HPP

#include <cstdint>

namespace turmericswitch::process
{

/// @return A number from the machine's random source. Use it for incarnations,
/// markers and the seeds of decision modules.
std::uint64_t random_seed();

} // namespace turmericswitch::process

#endif
