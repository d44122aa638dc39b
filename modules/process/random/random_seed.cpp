#include "process/random/random_seed.hpp"

#include <random>

namespace turmericswitch::process
{

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

} // namespace turmericswitch::process
