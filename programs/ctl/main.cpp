#include "process/process.hpp"
#include "run/ctl_run.hpp"

#include <iostream>
#include <random>
#include <thread>

int main(int argc, char** argv)
{
    using namespace turmericswitch;
    auto const random = []
    {
        std::random_device device;
        return (std::uint64_t{device()} << 32U) | device();
    };
    ctl::client_clock const clock{process::event_loop::now,
                                  [](core::duration time)
                                  { std::this_thread::sleep_for(time); }};
    return ctl::run_ctl({argv + 1, argv + argc},
                        {std::cout, std::cerr, random, clock});
}
