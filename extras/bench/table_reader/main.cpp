#include "routing/table/table_publisher.hpp"

#include <urcu/urcu-memb.h>
#include <urcu/urcu-qsbr.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <thread>
#include <vector>

// Compares mechanisms for publishing the route table by the time that one
// thread needs to acquire a reference that it can hold for a whole request.

namespace
{

namespace routing = turmericswitch::routing;

using table_pointer = std::shared_ptr<routing::route_table const>;

constexpr std::uint64_t reads_per_thread = 4'000'000;

// Reads the revision `count` times, each through a newly acquired reference
// that outlives the read.
//
// @return Sum of the revisions, so that the reads can't be optimized away.
using reader = std::function<std::uint64_t(std::uint64_t count)>;

// @return Mean nanoseconds per read with this many concurrent threads.
double measure_read_ns(unsigned threads,
                       std::function<reader()> const& make_reader)
{
    std::atomic<unsigned> ready{0};
    std::atomic<std::uint64_t> nanos{0};
    std::atomic<std::uint64_t> sum{0};
    std::vector<std::thread> reader_threads;
    for (unsigned i = 0; i < threads; ++i)
    {
        reader_threads.emplace_back(
            [&]
            {
                auto const read = make_reader();
                ++ready;
                while (ready < threads)
                {
                }
                auto const begin = std::chrono::steady_clock::now();
                sum += read(reads_per_thread);
                auto const elapsed = std::chrono::steady_clock::now() - begin;
                nanos += static_cast<std::uint64_t>(
                    std::chrono::nanoseconds(elapsed).count());
            });
    }
    for (auto& thread : reader_threads)
    {
        thread.join();
    }
    return static_cast<double>(nanos) /
           static_cast<double>(threads * reads_per_thread);
}

} // namespace

int main()
{
    auto table = table_pointer(std::make_shared<routing::route_table>());
    std::atomic<table_pointer> atomic_table{table};
    routing::table_publisher publisher;
    publisher.publish(table);
    table_pointer* rcu_table = &table;

    auto const atomic_reader = [&]() -> reader
    {
        return [&](std::uint64_t count)
        {
            std::uint64_t sum = 0;
            for (std::uint64_t i = 0; i < count; ++i)
            {
                table_pointer const snapshot = atomic_table.load();
                sum += snapshot->revision.value();
            }
            return sum;
        };
    };
    auto const memb_reader = [&]() -> reader
    {
        return [&](std::uint64_t count)
        {
            urcu_memb_register_thread();
            std::uint64_t sum = 0;
            for (std::uint64_t i = 0; i < count; ++i)
            {
                urcu_memb_read_lock();
                table_pointer const snapshot = *rcu_dereference(rcu_table);
                urcu_memb_read_unlock();
                sum += snapshot->revision.value();
            }
            urcu_memb_unregister_thread();
            return sum;
        };
    };
    auto const qsbr_reader = [&]() -> reader
    {
        return [&](std::uint64_t count)
        {
            urcu_qsbr_register_thread();
            std::uint64_t sum = 0;
            for (std::uint64_t i = 0; i < count; ++i)
            {
                table_pointer const snapshot = *rcu_dereference(rcu_table);
                sum += snapshot->revision.value();
                urcu_qsbr_quiescent_state();
            }
            urcu_qsbr_unregister_thread();
            return sum;
        };
    };
    auto const publisher_reader = [&]() -> reader
    {
        return [&](std::uint64_t count)
        {
            routing::table_reader table_reader(publisher);
            std::uint64_t sum = 0;
            for (std::uint64_t i = 0; i < count; ++i)
            {
                table_pointer const snapshot = table_reader.get();
                sum += snapshot->revision.value();
            }
            return sum;
        };
    };

    struct mechanism
    {
        char const* name;
        std::function<reader()> make;
    };
    mechanism const mechanisms[] = {{"table_reader", publisher_reader},
                                    {"atomic shared_ptr", atomic_reader},
                                    {"liburcu memb", memb_reader},
                                    {"liburcu qsbr", qsbr_reader}};
    double baseline = 0;
    std::puts("cost of one read as a ratio to table_reader on one thread");
    for (auto const& [name, make] : mechanisms)
    {
        for (unsigned const threads : {1U, 2U, 4U})
        {
            auto const cost = measure_read_ns(threads, make);
            baseline = baseline == 0 ? cost : baseline;
            std::printf(
                "%-18s %u threads  %7.2f\n", name, threads, cost / baseline);
        }
    }
    return 0;
}
