#include "routing/table/table_publisher.hpp"

#include <urcu/urcu-memb.h>
#include <urcu/urcu-qsbr.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <thread>
#include <vector>

// Measures what it costs one thread to take a reference to the route table
// that it can keep for a whole request, for several ways of publishing it.

namespace
{

namespace routing = turmericswitch::routing;

using table_pointer = std::shared_ptr<routing::route_table const>;

constexpr std::uint64_t reads = 4'000'000;

// One read of the revision through a reference that outlives the read.
using reader = std::function<std::uint64_t(std::uint64_t count)>;

// @return Nanoseconds per read of one thread, all running at the same time.
double measure(unsigned threads, std::function<reader()> const& make_reader)
{
    std::atomic<unsigned> ready{0};
    std::atomic<std::uint64_t> nanos{0};
    std::atomic<std::uint64_t> sum{0};
    std::vector<std::thread> running;
    for (unsigned i = 0; i < threads; ++i)
    {
        running.emplace_back(
            [&]
            {
                auto const read = make_reader();
                ++ready;
                while (ready < threads)
                {
                }
                auto const begin = std::chrono::steady_clock::now();
                sum += read(reads);
                auto const spent = std::chrono::steady_clock::now() - begin;
                nanos += static_cast<std::uint64_t>(
                    std::chrono::nanoseconds(spent).count());
            });
    }
    for (auto& thread : running)
    {
        thread.join();
    }
    return static_cast<double>(nanos) / static_cast<double>(threads * reads);
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
                table_pointer const held = atomic_table.load();
                sum += held->revision.value();
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
                table_pointer const held = *rcu_dereference(rcu_table);
                urcu_memb_read_unlock();
                sum += held->revision.value();
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
                table_pointer const held = *rcu_dereference(rcu_table);
                sum += held->revision.value();
                urcu_qsbr_quiescent_state();
            }
            urcu_qsbr_unregister_thread();
            return sum;
        };
    };
    auto const own_reader = [&]() -> reader
    {
        return [&](std::uint64_t count)
        {
            routing::table_reader own(publisher);
            std::uint64_t sum = 0;
            for (std::uint64_t i = 0; i < count; ++i)
            {
                table_pointer const held = own.get();
                sum += held->revision.value();
            }
            return sum;
        };
    };

    struct way
    {
        char const* name;
        std::function<reader()> make;
    };
    way const ways[] = {{"table_reader", own_reader},
                        {"atomic shared_ptr", atomic_reader},
                        {"liburcu memb", memb_reader},
                        {"liburcu qsbr", qsbr_reader}};
    double base = 0;
    std::puts("cost of one read as a ratio to table_reader on one thread");
    for (auto const& [name, make] : ways)
    {
        for (unsigned const threads : {1U, 2U, 4U})
        {
            auto const cost = measure(threads, make);
            base = base == 0 ? cost : base;
            std::printf(
                "%-18s %u threads  %7.2f\n", name, threads, cost / base);
        }
    }
    return 0;
}
