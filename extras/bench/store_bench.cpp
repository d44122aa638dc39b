// Measures log_store on the real file system: commit rate and latency by batch
// size, with one sync per batch, and recovery time by log length with and
// without a snapshot.

#include "core/results/last_reason.hpp"
#include "store/store.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

namespace
{

using namespace turmericswitch;
using clock_type = std::chrono::steady_clock;

constexpr std::size_t entry_bytes = 200;
constexpr std::size_t batches_per_size = 200;
constexpr std::size_t fill_batch_size = 512;
constexpr std::size_t segment_bytes = 1024UL * 1024UL;
/// Log entries after the snapshot in the recovery measurement.
constexpr std::uint64_t tail_entries = 1000;
/// The fastest of this many runs counts as the recovery time.
constexpr int recovery_runs = 3;

/// Prints the last error and exits.
[[noreturn]] void exit_with_error()
{
    std::fprintf(stderr, "store_bench: %s\n", core::last_reason().text.c_str());
    std::exit(1);
}

double seconds_since(clock_type::time_point start)
{
    return std::chrono::duration<double>(clock_type::now() - start).count();
}

std::vector<core::log_entry> make_batch(std::uint64_t first, std::size_t count)
{
    std::vector<core::log_entry> entries;
    for (std::size_t i = 0; i < count; ++i)
    {
        entries.push_back({core::term(1),
                           core::log_index(first + i),
                           core::entry_kind::command,
                           std::string(entry_bytes, 'x')});
    }
    return entries;
}

store::log_store open_log(store::file_system& files,
                          std::string const& folder,
                          std::uint64_t base)
{
    auto log =
        store::log_store::open(files,
                               folder,
                               {core::log_index(base), core::term(base > 0)},
                               {segment_bytes});
    if (!log)
    {
        exit_with_error();
    }
    return std::move(*log);
}

/// Appends batches of `size` entries.
///
/// @return Seconds per append, sorted.
std::vector<double> measure_appends(store::file_system& files,
                                    std::string const& folder,
                                    std::size_t size)
{
    auto log = open_log(files, folder, 0);
    std::vector<double> times;
    for (std::size_t i = 0; i < batches_per_size; ++i)
    {
        auto const entries = make_batch(log.last_index().value() + 1, size);
        auto const start = clock_type::now();
        if (!log.append(entries))
        {
            exit_with_error();
        }
        times.push_back(seconds_since(start));
    }
    std::sort(times.begin(), times.end());
    return times;
}

void measure_commits(store::file_system& files, std::string const& root)
{
    std::printf("batch  entries/s ratio  p50 ratio  p99 ratio\n");
    double base_rate = 0;
    double base_p50 = 0;
    for (std::size_t const size : {1U, 8U, 64U, 512U})
    {
        auto const times = measure_appends(
            files, root + "/commit" + std::to_string(size), size);
        double total = 0;
        for (auto const time : times)
        {
            total += time;
        }
        auto const rate = static_cast<double>(size * times.size()) / total;
        auto const p50 = times[times.size() / 2];
        auto const p99 = times[times.size() * 99 / 100];
        base_rate = base_rate > 0 ? base_rate : rate;
        base_p50 = base_p50 > 0 ? base_p50 : p50;
        std::printf("%5zu  %15.2f  %9.2f  %9.2f\n",
                    size,
                    rate / base_rate,
                    p50 / base_p50,
                    p99 / base_p50);
    }
}

/// @param base Index of the last entry that the snapshot covers, 0 without one.
double recovery_seconds(store::file_system& files,
                        std::string const& folder,
                        std::uint64_t base)
{
    double best = 0;
    for (int run = 0; run < recovery_runs; ++run)
    {
        auto const start = clock_type::now();
        open_log(files, folder, base);
        auto const time = seconds_since(start);
        best = run == 0 ? time : std::min(best, time);
    }
    return best;
}

/// @return Least-squares slope of y over x.
double fitted_slope(std::vector<double> const& x, std::vector<double> const& y)
{
    double mean_x = 0;
    double mean_y = 0;
    for (std::size_t i = 0; i < x.size(); ++i)
    {
        mean_x += x[i] / static_cast<double>(x.size());
        mean_y += y[i] / static_cast<double>(x.size());
    }
    double numerator = 0;
    double denominator = 0;
    for (std::size_t i = 0; i < x.size(); ++i)
    {
        numerator += (x[i] - mean_x) * (y[i] - mean_y);
        denominator += (x[i] - mean_x) * (x[i] - mean_x);
    }
    return numerator / denominator;
}

/// Appends entries until the log has `count`.
void fill(store::log_store& log, std::uint64_t count)
{
    while (log.last_index().value() < count)
    {
        auto const next = log.last_index().value() + 1;
        auto const size =
            std::min<std::uint64_t>(fill_batch_size, count + 1 - next);
        if (!log.append(make_batch(next, size)))
        {
            exit_with_error();
        }
    }
}

/// Prints recovery times as ratios to that of the shortest log without a
/// snapshot.
void measure_recovery(store::file_system& files, std::string const& root)
{
    std::printf("entries  without snapshot  with snapshot\n");
    std::vector<double> lengths;
    std::vector<double> without_snapshot;
    std::vector<double> with_snapshot;
    for (std::uint64_t const count : {10000U, 20000U, 40000U, 80000U})
    {
        auto const folder = root + "/recovery" + std::to_string(count);
        auto log = open_log(files, folder, 0);
        fill(log, count);
        auto const time = recovery_seconds(files, folder, 0);
        auto const base = count - tail_entries;
        if (!log.compact_prefix(core::log_index(base)))
        {
            exit_with_error();
        }
        auto const unit =
            without_snapshot.empty() ? time : without_snapshot.front();
        lengths.push_back(static_cast<double>(count));
        without_snapshot.push_back(time);
        with_snapshot.push_back(recovery_seconds(files, folder, base));
        std::printf("%7llu  %16.2f  %13.2f\n",
                    static_cast<unsigned long long>(count),
                    time / unit,
                    with_snapshot.back() / unit);
    }
    auto const scale = lengths.front() / without_snapshot.front();
    std::printf("slope per %g entries: %.2f without, %.2f with snapshot\n",
                lengths.front(),
                fitted_slope(lengths, without_snapshot) * scale,
                fitted_slope(lengths, with_snapshot) * scale);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2 || std::string(argv[1]).starts_with("-"))
    {
        std::fprintf(stderr, "usage: store_bench NEW_FOLDER\n");
        return 2;
    }
    std::string const root = argv[1];
    if (std::filesystem::exists(root))
    {
        std::fprintf(stderr, "store_bench: %s already exists\n", root.c_str());
        return 2;
    }
    store::real_file_system files;
    measure_commits(files, root);
    measure_recovery(files, root);
    std::filesystem::remove_all(root);
    return 0;
}
