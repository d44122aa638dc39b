#include "core/results/last_reason.hpp"
#include "store/store.hpp"
#include "support/fake_file_system.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <filesystem>
#include <unistd.h>

namespace turmericswitch::store
{

namespace
{

using core::log_index;
using core::result_code;
using testing::fake_file_system;

constexpr log_options small_segments{256};
char const* const first_segment = "log/00000000000000000001.log";

std::vector<core::log_entry>
batch(std::uint64_t first, std::size_t count, std::uint64_t term = 1)
{
    std::vector<core::log_entry> entries;
    for (std::size_t i = 0; i < count; ++i)
    {
        entries.push_back({core::term(term),
                           log_index(first + i),
                           core::entry_kind::command,
                           "entry " + std::to_string(first + i)});
    }
    return entries;
}

std::optional<log_store> open(file_system& files,
                              log_base base = {},
                              log_options options = {})
{
    return log_store::open(files, "log", base, options);
}

void append_all(log_store& log, std::uint64_t first, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        CPPUNIT_ASSERT(log.append(batch(first + i, 1)));
    }
}

void expect_reason(result_code code)
{
    CPPUNIT_ASSERT_EQUAL(std::string(core::to_string(code)),
                         std::string(core::to_string(core::last_reason().code)));
}

/// Random operations with crashes; the model is the list of acknowledged
/// entries, which must come back, followed at most by unacknowledged ones.
void run_log_model()
{
    fake_file_system disk(*rc::gen::arbitrary<std::uint64_t>());
    auto const steps = *rc::gen::container<std::vector<unsigned>>(
        rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, 1000U)));
    std::vector<core::log_entry> model;
    std::uint64_t base = 0;
    std::uint64_t term = 1;
    auto log = open(disk, {}, small_segments);
    for (auto const step : steps)
    {
        auto const amount = step / 10;
        auto const last = base + model.size();
        switch (step % 10)
        {
        case 0:
            RC_ASSERT(log->truncate_suffix(log_index(last + 1 - amount % (model.size() + 1))));
            model.resize(model.size() - amount % (model.size() + 1));
            ++term;
            continue;
        case 1:
            base += amount % (model.size() + 1);
            model.erase(model.begin(),
                        model.begin() +
                            static_cast<std::ptrdiff_t>(
                                model.size() - (last - base)));
            RC_ASSERT(log->compact_prefix(log_index(base)));
            continue;
        case 2:
            disk.fail_next_sync();
            break;
        case 3:
            disk.set_space(amount * 5);
            break;
        default:
            break;
        }
        auto const entries = batch(last + 1, amount % 7 + 1, term);
        auto const accepted = log->append(entries);
        disk.set_space(std::nullopt);
        if (accepted)
        {
            model.insert(model.end(), entries.begin(), entries.end());
        }
        if (step % 10 > 6 || !accepted)
        {
            disk.crash();
            // The term at the base is only compared when the log holds it.
            log = open(disk, {log_index(base), core::term()}, small_segments);
            if (!log)
            {
                RC_FAIL(core::last_reason().text);
            }
        }
    }
}

} // namespace

} // namespace turmericswitch::store
