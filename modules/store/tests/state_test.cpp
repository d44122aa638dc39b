#include "core/results/last_reason.hpp"
#include "store/store.hpp"
#include "support/fake_file_system.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <unistd.h>

namespace turmericswitch::store
{

namespace
{

using core::log_index;
using core::member_id;
using core::result_code;
using testing::fake_file_system;

instance_identity const identity{"group one", member_id(4), 77};
core::hard_state const state{core::term(5), member_id(2)};

stored_snapshot snapshot_at(std::uint64_t index)
{
    return {{log_index(index), core::term(1), {}},
            "state " + std::to_string(index)};
}

bool reason_is(result_code code)
{
    return core::last_reason().code == code;
}

} // namespace

class state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(state_test);
    CPPUNIT_TEST(identity_and_vote_survive_crashes);
    CPPUNIT_TEST(lost_identity_is_reported);
    CPPUNIT_TEST(failed_hard_state_refuses_later_ones);
    CPPUNIT_TEST(full_disk_keeps_the_old_vote);
    CPPUNIT_TEST(last_two_snapshots_are_kept);
    CPPUNIT_TEST(damaged_snapshot_falls_back_to_the_older);
    CPPUNIT_TEST(real_files_survive_reopening);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a second vote in a term after a crash.
    void identity_and_vote_survive_crashes()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed)
        {
            fake_file_system disk(seed);
            hard_state_store store(disk, "state");
            CPPUNIT_ASSERT(store.create(identity, {}));
            CPPUNIT_ASSERT(store.save(state));
            disk.crash();
            hard_state_store after(disk, "state");
            CPPUNIT_ASSERT(after.load_identity(member_id(4)) == identity);
            CPPUNIT_ASSERT(after.load() == state);
            CPPUNIT_ASSERT(!after.create(identity, {}));
        }
    }

    // Guards against an instance that votes without knowing its last vote.
    void lost_identity_is_reported()
    {
        fake_file_system empty;
        CPPUNIT_ASSERT(
            !hard_state_store(empty, "state").load_identity(member_id(4)));
        CPPUNIT_ASSERT(reason_is(result_code::identity_lost));

        fake_file_system disk;
        hard_state_store store(disk, "state");
        CPPUNIT_ASSERT(store.create(identity, state));
        CPPUNIT_ASSERT(!store.load_identity(member_id(5)));
        CPPUNIT_ASSERT(reason_is(result_code::identity_lost));
        disk.damage("state/hard_state", 9);
        CPPUNIT_ASSERT(!store.load_identity(member_id(4)));
        CPPUNIT_ASSERT(reason_is(result_code::identity_lost));
        CPPUNIT_ASSERT(disk.remove("state/identity"));
        CPPUNIT_ASSERT(!store.load_identity(member_id(4)));
    }

    // Guards against a vote that is sent after its sync failed.
    void failed_hard_state_refuses_later_ones()
    {
        fake_file_system disk;
        hard_state_store store(disk, "state");
        CPPUNIT_ASSERT(store.create(identity, state));
        disk.fail_next_sync();
        CPPUNIT_ASSERT(!store.save({core::term(6), member_id(1)}));
        CPPUNIT_ASSERT(!store.save({core::term(7), member_id(1)}));
        CPPUNIT_ASSERT(reason_is(result_code::sync_failed));
        CPPUNIT_ASSERT(hard_state_store(disk, "state").load() == state);
    }

    // Guards against losing the old file when the disk is full.
    void full_disk_keeps_the_old_vote()
    {
        fake_file_system disk;
        hard_state_store store(disk, "state");
        CPPUNIT_ASSERT(store.create(identity, state));
        disk.set_space(3);
        CPPUNIT_ASSERT(!store.save({core::term(6), member_id(1)}));
        CPPUNIT_ASSERT(reason_is(result_code::disk_full));
        disk.set_space(std::nullopt);
        hard_state_store after(disk, "state");
        CPPUNIT_ASSERT(after.load() == state);
        CPPUNIT_ASSERT(after.save({core::term(6), member_id(1)}));
    }

    // Guards against an unbounded number of snapshots, and against compacting
    // the log past the older one.
    void last_two_snapshots_are_kept()
    {
        fake_file_system disk;
        snapshot_store store(disk, "snapshots");
        CPPUNIT_ASSERT(store.load_newest() == stored_snapshot{});
        CPPUNIT_ASSERT(store.save(snapshot_at(5)));
        CPPUNIT_ASSERT_EQUAL(log_index(0), store.oldest_index());
        CPPUNIT_ASSERT(store.save(snapshot_at(9)));
        CPPUNIT_ASSERT(store.save(snapshot_at(12)));
        CPPUNIT_ASSERT_EQUAL(log_index(9), store.oldest_index());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), disk.list("snapshots")->size());
        disk.crash();
        CPPUNIT_ASSERT(store.load_newest() == snapshot_at(12));
    }

    // Guards against a restart from a damaged snapshot.
    void damaged_snapshot_falls_back_to_the_older()
    {
        fake_file_system disk;
        snapshot_store store(disk, "snapshots");
        CPPUNIT_ASSERT(store.save(snapshot_at(5)));
        CPPUNIT_ASSERT(store.save(snapshot_at(9)));
        auto const names = *disk.list("snapshots");
        disk.damage("snapshots/" + names[1], 30);
        CPPUNIT_ASSERT(store.load_newest() == snapshot_at(5));
        disk.damage("snapshots/" + names[0], 30);
        CPPUNIT_ASSERT(!store.load_newest());
        CPPUNIT_ASSERT(reason_is(result_code::snapshot_damaged));
    }

    // Guards against differences between the real and the fake file system.
    void real_files_survive_reopening()
    {
        auto const folder =
            (std::filesystem::temp_directory_path() /
             ("turmericswitch-store-" + std::to_string(::getpid())))
                .string();
        real_file_system files;
        CPPUNIT_ASSERT(
            hard_state_store(files, folder + "/state").create(identity, state));
        CPPUNIT_ASSERT(
            snapshot_store(files, folder + "/snapshots").save(snapshot_at(5)));
        auto log = log_store::open(files, folder + "/log", {}, {64});
        std::vector<core::log_entry> entries;
        for (std::uint64_t i = 1; i <= 6; ++i)
        {
            entries.push_back({core::term(1), log_index(i), {}, "x"});
            CPPUNIT_ASSERT(log->append({entries.back()}));
        }
        CPPUNIT_ASSERT(log->truncate_suffix(log_index(6)));
        entries.pop_back();
        log = log_store::open(files, folder + "/log", {}, {64});
        CPPUNIT_ASSERT(log && log->take_recovered() == entries);
        CPPUNIT_ASSERT(hard_state_store(files, folder + "/state")
                           .load_identity(member_id(4)) == identity);
        CPPUNIT_ASSERT(
            snapshot_store(files, folder + "/snapshots").load_newest() ==
            snapshot_at(5));
        CPPUNIT_ASSERT(!files.read(folder + "/missing"));
        CPPUNIT_ASSERT(reason_is(result_code::io_failed));
        std::filesystem::remove_all(folder);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_test);

} // namespace turmericswitch::store
