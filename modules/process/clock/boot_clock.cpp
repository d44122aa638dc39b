#include "process/clock/boot_clock.hpp"

#include <chrono>
#include <ctime>

namespace turmericswitch::process
{

core::time_point boot_time()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return core::time_point(std::chrono::duration_cast<core::duration>(
        std::chrono::seconds(time.tv_sec) +
        std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace turmericswitch::process
