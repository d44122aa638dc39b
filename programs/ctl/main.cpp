#include "process/process.hpp"
#include "run/ctl_run.hpp"

#include <iostream>
#include <thread>

int main(int argc, char** argv)
{
    using namespace turmericswitch;
    ctl::client_clock const clock{process::event_loop::now,
                                  [](core::duration time)
                                  { std::this_thread::sleep_for(time); }};
    return ctl::run_ctl({argv + 1, argv + argc},
                        {std::cout, std::cerr, process::random_seed, clock});
}
