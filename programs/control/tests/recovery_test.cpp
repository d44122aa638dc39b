#include "core/results/last_reason.hpp"
#include "tests/replica_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::control::testing
{

using core::result_code;

class recovery_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(recovery_test);
    CPPUNIT_TEST(bootstrap_is_refused_with_an_identity);
    CPPUNIT_TEST(refused_bootstrap_changes_nothing);
    CPPUNIT_TEST(bootstrap_can_be_repeated_after_a_crash);
    CPPUNIT_TEST(no_start_without_an_identity);
    CPPUNIT_TEST(no_start_with_the_folder_of_another_group);
    CPPUNIT_TEST(writer_stops_after_a_failed_append);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a member that is bootstrapped again and so forgets its
    // votes.
    void bootstrap_is_refused_with_an_identity()
    {
        replica_group group;
        CPPUNIT_ASSERT(group.submit_jobs_and_wait(5));
        group.crash(1);
        CPPUNIT_ASSERT(!group.start(1, start_mode::bootstrap));
        CPPUNIT_ASSERT(!group.start(1, start_mode::join));
        CPPUNIT_ASSERT(group.start(1, start_mode::normal));
        CPPUNIT_ASSERT(group.step_until([&] { return group.has_converged(); }));
    }

    // Guards against a refused bootstrap that writes the first entry into the
    // log of a member that waits to be added.
    void refused_bootstrap_changes_nothing()
    {
        replica_group group;
        group.add().settings.first_members.members = {group.member(4)};
        CPPUNIT_ASSERT(group.start(4, start_mode::join));
        group.crash(4);
        CPPUNIT_ASSERT(!group.start(4, start_mode::bootstrap));
        CPPUNIT_ASSERT(group.start(4, start_mode::normal));
        CPPUNIT_ASSERT(group.node(4).membership().members.empty());
    }

    // Guards against a data folder that is unusable after a crash between the
    // writes of the first log entry and the identity.
    void bootstrap_can_be_repeated_after_a_crash()
    {
        for (std::uint64_t space = 0; space < 400; space += 5)
        {
            replica_group group(0);
            auto& each = group.add();
            each.settings.first_members.members = {group.member(1)};
            each.disk.set_space(space);
            if (group.start(1, start_mode::bootstrap))
            {
                CPPUNIT_ASSERT(space > 0);
                return;
            }
            each.disk.crash();
            each.disk.set_space(std::nullopt);
            CPPUNIT_ASSERT(!group.start(1, start_mode::normal));
            CPPUNIT_ASSERT(group.start(1, start_mode::bootstrap));
            CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
            group.crash(1);
            CPPUNIT_ASSERT(group.start(1, start_mode::normal));
            CPPUNIT_ASSERT(group.submit_jobs_and_wait(1));
            CPPUNIT_ASSERT(group.has_acknowledged(1));
        }
        CPPUNIT_FAIL("bootstrap never succeeded");
    }

    // Guards against a member that lost its disk and votes a second time in a
    // term.
    void no_start_without_an_identity()
    {
        replica_group group;
        group.crash(1);
        CPPUNIT_ASSERT(group.at(1).disk.remove("data/state/identity"));
        CPPUNIT_ASSERT(!group.start(1, start_mode::normal));
        CPPUNIT_ASSERT(core::last_reason().code == result_code::identity_lost);
    }

    // Guards against a member that starts with the data folder of another
    // group.
    void no_start_with_the_folder_of_another_group()
    {
        replica_group group;
        group.crash(1);
        group.at(1).settings.group = "other";
        CPPUNIT_ASSERT(!group.start(1, start_mode::normal));
        CPPUNIT_ASSERT(core::last_reason().code == result_code::identity_lost);
    }

    // Guards against a gap in the log: after a failed append, entries that are
    // still queued must not be written.
    void writer_stops_after_a_failed_append()
    {
        turmericswitch::testing::fake_file_system disk;
        auto log = store::log_store::open(disk, "log", {});
        CPPUNIT_ASSERT(log.has_value());
        std::size_t persisted = 0;
        std::size_t failed = 0;
        {
            log_writer writer(
                std::move(*log),
                store::snapshot_store(disk, "snapshots"),
                [&](core::log_index, core::term) { ++persisted; },
                [&] { ++failed; });
            disk.set_space(0);
            writer.append({{core::term(1), core::log_index(1), {}, "a"}});
            writer.wait_until_written();
            disk.set_space(std::nullopt);
            writer.append({{core::term(1), core::log_index(2), {}, "b"}});
            CPPUNIT_ASSERT(!writer.truncate(core::log_index(1)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), persisted);
        CPPUNIT_ASSERT(failed > 0);
        auto again = store::log_store::open(disk, "log", {});
        CPPUNIT_ASSERT(again && again->take_recovered().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(recovery_test);

} // namespace turmericswitch::control::testing
