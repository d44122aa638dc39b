#include "core/results/last_reason.hpp"
#include "store/log/log_store.hpp"
#include "support/fake_file_system.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

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

std::optional<log_store>
open(file_system& files, log_base base = {}, log_options options = {})
{
    return log_store::open(files, "log", base, options);
}

void append_singly(log_store& log, std::uint64_t first, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        CPPUNIT_ASSERT(log.append(batch(first + i, 1)));
    }
}

void expect_reason(result_code code)
{
    CPPUNIT_ASSERT_EQUAL(
        std::string(core::to_string(code)),
        std::string(core::to_string(core::last_reason().code)));
}

void expect_reopens_with(file_system& files, std::uint64_t last)
{
    auto log = open(files);
    CPPUNIT_ASSERT(log.has_value());
    CPPUNIT_ASSERT_EQUAL(log_index(last), log->last_index());
    CPPUNIT_ASSERT(log->take_recovered() == batch(1, last));
    CPPUNIT_ASSERT(log->append(batch(last + 1, 1)));
    // A torn tail left in the file would hide this entry.
    log = open(files);
    CPPUNIT_ASSERT(log && log->take_recovered() == batch(1, last + 1));
}

/// Runs random operations, disk faults and crashes on a log and compares it
/// with the acknowledged entries after the snapshot.
class log_model
{
public:
    explicit log_model(std::uint64_t seed) : m_disk(seed)
    {
        reopen();
    }

    void step(unsigned kind, unsigned amount)
    {
        switch (kind)
        {
        case 0:
            truncate(amount);
            return;
        case 1:
            compact(amount);
            return;
        case 2:
            m_disk.fail_next_sync();
            break;
        case 3:
            m_disk.set_space(amount * 5);
            break;
        case 4:
            m_disk.fail_next_sync(false);
            break;
        default:
            break;
        }
        append(amount, (kind >= 2 && kind <= 4) || kind > 7);
    }

private:
    void truncate(unsigned amount)
    {
        auto const removed = amount % (m_entries.size() + 1);
        auto const from = last() + 1 - removed;
        RC_ASSERT(m_log->truncate_suffix(log_index(from)));
        m_entries.resize(m_entries.size() - removed);
        ++m_term;
    }

    void compact(unsigned amount)
    {
        auto const count = amount % (m_entries.size() + 1);
        if (count == 0)
        {
            return;
        }
        m_base = {m_entries[count - 1].index, m_entries[count - 1].entry_term};
        m_entries.erase(m_entries.begin(),
                        m_entries.begin() + static_cast<std::ptrdiff_t>(count));
        RC_ASSERT(m_log->compact_prefix(m_base.index));
    }

    void append(unsigned amount, bool crashes)
    {
        auto const fresh = batch(last() + 1, amount % 7 + 1, m_term);
        bool const accepted = m_log->append(fresh);
        m_disk.set_space(std::nullopt);
        if (accepted)
        {
            m_entries.insert(m_entries.end(), fresh.begin(), fresh.end());
        }
        else if (core::last_reason().code == result_code::sync_failed)
        {
            // Accepting it would acknowledge pages that the kernel dropped.
            RC_ASSERT(!m_log->append(fresh));
        }
        if (!accepted && amount % 2 == 0)
        {
            reopen_in_place();
            return;
        }
        if (crashes)
        {
            m_disk.crash();
            reopen();
        }
    }

    void reopen_in_place()
    {
        RC_ASSERT(m_log->reopen(m_base));
        auto found = m_log->take_recovered();
        std::erase_if(found,
                      [this](auto const& entry)
                      { return entry.index <= m_base.index; });
        // What a failed batch left in the file must not be taken as durable.
        RC_ASSERT(found == m_entries);
        RC_ASSERT(m_log->last_index().value() == last());
    }

    void reopen()
    {
        m_log = open(m_disk, m_base, small_segments);
        if (!m_log)
        {
            RC_FAIL(core::last_reason().text);
        }
        auto found = m_log->take_recovered();
        std::erase_if(found,
                      [this](auto const& entry)
                      { return entry.index <= m_base.index; });
        RC_ASSERT(found.size() >= m_entries.size());
        RC_ASSERT(
            std::equal(m_entries.begin(), m_entries.end(), found.begin()));
        // What was written but not acknowledged may survive as well.
        m_entries = found;
        RC_ASSERT(m_log->last_index().value() == last());
    }

    std::uint64_t last() const
    {
        return m_base.index.value() + m_entries.size();
    }

    fake_file_system m_disk;
    std::optional<log_store> m_log;
    std::vector<core::log_entry> m_entries;
    log_base m_base;
    std::uint64_t m_term = 1;
};

void run_log_model()
{
    log_model model(*rc::gen::arbitrary<std::uint64_t>());
    auto const steps = *rc::gen::container<std::vector<unsigned>>(
        rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, 1000U)));
    for (auto const step : steps)
    {
        model.step(step % 10, step / 10);
    }
}

} // namespace

class log_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_store_test);
    CPPUNIT_TEST(acknowledged_entries_survive);
    CPPUNIT_TEST(torn_tail_is_truncated);
    CPPUNIT_TEST(damage_before_the_tail_is_reported);
    CPPUNIT_TEST(missing_segment_is_reported);
    CPPUNIT_TEST(disk_full_in_a_batch_accepts_none_of_it);
    CPPUNIT_TEST(failed_sync_refuses_later_writes);
    CPPUNIT_TEST(reopened_log_keeps_what_was_synced);
    CPPUNIT_TEST(log_stays_refused_until_the_disk_works);
    CPPUNIT_TEST(gap_to_the_snapshot_is_reported);
    CPPUNIT_TEST(log_older_than_the_snapshot_is_dropped);
    CPPUNIT_TEST(log_of_another_term_is_dropped);
    CPPUNIT_TEST_SUITE_END();

    // Guards against any loss of acknowledged entries.
    void acknowledged_entries_survive()
    {
        testing::check_property(
            "log store", {21, 400, 100}, [] { run_log_model(); });
    }

    // Guards against a restart that fails or reads a torn record after a crash
    // during a write. Tries every length of the torn record.
    void torn_tail_is_truncated()
    {
        fake_file_system intact;
        auto log = open(intact);
        append_singly(*log, 1, 3);
        auto const kept = intact.size(first_segment);
        append_singly(*log, 4, 1);
        auto const end = intact.size(first_segment);
        auto const bytes = *intact.read(first_segment);
        for (auto cut = kept; cut < end; ++cut)
        {
            fake_file_system torn;
            CPPUNIT_ASSERT(
                torn.open(first_segment)->append(bytes.substr(0, cut)));
            expect_reopens_with(torn, 3);
        }
    }

    // Guards against truncating acknowledged entries after a bad sector. Tries
    // damage at every byte before the last batch.
    void damage_before_the_tail_is_reported()
    {
        fake_file_system disk;
        auto log = open(disk);
        append_singly(*log, 1, 4);
        auto const last_batch = disk.size(first_segment);
        append_singly(*log, 5, 1);
        for (std::uint64_t at = 0; at < last_batch; ++at)
        {
            disk.damage(first_segment, at);
            CPPUNIT_ASSERT(!open(disk));
            expect_reason(result_code::log_damaged);
            disk.damage(first_segment, at);
        }
        expect_reopens_with(disk, 5);
    }

    // Guards against a recovered log with a gap where a segment file is lost.
    void missing_segment_is_reported()
    {
        fake_file_system disk;
        auto log = open(disk, {}, small_segments);
        append_singly(*log, 1, 30);
        auto const names = *disk.list("log");
        CPPUNIT_ASSERT(names.size() > 2);
        CPPUNIT_ASSERT(disk.remove("log/" + names[1]));
        CPPUNIT_ASSERT(!open(disk));
        expect_reason(result_code::log_damaged);
    }

    // Guards against a partial batch that is recovered after a restart, and
    // against a store that stays unusable once the disk has space again.
    void disk_full_in_a_batch_accepts_none_of_it()
    {
        fake_file_system disk;
        auto log = open(disk);
        append_singly(*log, 1, 2);
        disk.set_space(100);
        CPPUNIT_ASSERT(!log->append(batch(3, 8)));
        expect_reason(result_code::disk_full);
        CPPUNIT_ASSERT_EQUAL(log_index(2), open(disk)->last_index());
        disk.set_space(std::nullopt);
        CPPUNIT_ASSERT(log->append(batch(3, 8)));
        expect_reopens_with(disk, 10);
    }

    // Guards against acknowledging pages that the kernel dropped.
    void failed_sync_refuses_later_writes()
    {
        fake_file_system disk;
        auto log = open(disk);
        append_singly(*log, 1, 2);
        disk.fail_next_sync();
        CPPUNIT_ASSERT(!log->append(batch(3, 1)));
        expect_reason(result_code::sync_failed);
        CPPUNIT_ASSERT(!log->append(batch(3, 1)));
        CPPUNIT_ASSERT(!log->truncate_suffix(log_index(2)));
        CPPUNIT_ASSERT(!log->reset(log_index(9)));
        expect_reason(result_code::sync_failed);
        disk.crash();
        expect_reopens_with(disk, 2);
    }

    // Guards against a store that needs a restart after a failed sync, and
    // against later batches in a file that lost pages: they would be gone after
    // a loss of power although their sync succeeded.
    void reopened_log_keeps_what_was_synced()
    {
        fake_file_system disk;
        auto log = open(disk);
        append_singly(*log, 1, 2);
        disk.fail_next_sync();
        CPPUNIT_ASSERT(!log->append(batch(3, 4)));
        CPPUNIT_ASSERT(log->reopen({}));
        CPPUNIT_ASSERT(log->take_recovered() == batch(1, 2));
        append_singly(*log, 3, 2);
        disk.crash();
        expect_reopens_with(disk, 4);
    }

    // Guards against a reopened store that takes writes on a disk that still
    // fails, and against one that gives up after the first attempt.
    void log_stays_refused_until_the_disk_works()
    {
        fake_file_system disk;
        auto log = open(disk);
        append_singly(*log, 1, 2);
        disk.fail_syncs(true);
        for (int attempt = 0; attempt < 3; ++attempt)
        {
            CPPUNIT_ASSERT(!log->append(batch(3, 1)));
            CPPUNIT_ASSERT(log->reopen({}));
            CPPUNIT_ASSERT(log->take_recovered() == batch(1, 2));
        }
        disk.fail_syncs(false);
        append_singly(*log, 3, 1);
        disk.crash();
        expect_reopens_with(disk, 3);
    }

    // Guards against a state machine that skips the entries between snapshot
    // and log.
    void gap_to_the_snapshot_is_reported()
    {
        fake_file_system disk;
        auto log = open(disk, {}, small_segments);
        append_singly(*log, 1, 30);
        CPPUNIT_ASSERT(log->compact_prefix(log_index(20)));
        CPPUNIT_ASSERT(open(disk, {log_index(20), core::term(1)}));
        CPPUNIT_ASSERT(!open(disk, {log_index(3), core::term(1)}));
        expect_reason(result_code::snapshot_log_mismatch);
    }

    // Guards against keeping old entries after a crash between saving a
    // received snapshot and resetting the log.
    void log_older_than_the_snapshot_is_dropped()
    {
        fake_file_system disk;
        auto log = open(disk);
        append_singly(*log, 1, 5);
        log = open(disk, {log_index(9), core::term(2)});
        CPPUNIT_ASSERT(log && log->take_recovered().empty());
        CPPUNIT_ASSERT_EQUAL(log_index(9), log->last_index());
        CPPUNIT_ASSERT(log->append(batch(10, 1)));
    }

    // Guards against keeping entries that conflict with the snapshot.
    void log_of_another_term_is_dropped()
    {
        fake_file_system disk;
        auto log = open(disk);
        append_singly(*log, 1, 5);
        CPPUNIT_ASSERT_EQUAL(
            log_index(5),
            open(disk, {log_index(3), core::term(1)})->last_index());
        CPPUNIT_ASSERT_EQUAL(
            log_index(3),
            open(disk, {log_index(3), core::term(2)})->last_index());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_store_test);

} // namespace turmericswitch::store
