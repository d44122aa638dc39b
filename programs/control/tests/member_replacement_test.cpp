#include "tests/node_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::control::testing
{

/// Guards against a group that stays without its third voter after a disk was
/// lost, so that the next lost disk leaves it without a quorum for good.
class member_replacement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(member_replacement_test);
    CPPUNIT_TEST(successor_of_a_successor_votes_whatever_its_id);
    CPPUNIT_TEST(emptied_member_answers_a_leader_its_log_does_not_list);
    CPPUNIT_TEST(emptied_leader_votes_again);
    CPPUNIT_TEST(leader_shows_that_a_disk_was_lost_and_replaced);
    CPPUNIT_TEST_SUITE_END();

    /// The next disk may be lost this long after the emptied instance is back.
    static constexpr auto contact_time = std::chrono::seconds(4);

    /// Loses the disk of an instance, starts it again, and waits until it has
    /// replaced its former identity.
    ///
    /// @return False if the group is not whole in time.
    static bool
    replace(node_group& group, std::size_t number, std::uint64_t seed)
    {
        group.lose_disk(number);
        // The others elect a leader first if this one has led.
        bool const has_leader = node_group::wait_for(
            contact_time, [&group] { return group.leader() != 0; });
        group.start(number, seed);
        return has_leader &&
               node_group::wait_for(contact_time,
                                    [&group] {
                                        return group.is_whole({1, 2, 3});
                                    });
    }

    // An instance loses its disk twice. Its ids are drawn at random, so that of
    // its second successor may be smaller than that of the first. The leader
    // took the successor for the identity that it replaces and removed it.
    void successor_of_a_successor_votes_whatever_its_id()
    {
        node_group group(3);
        CPPUNIT_ASSERT(replace(group, 3, 2'000'000));
        CPPUNIT_ASSERT(replace(group, 3, 1'000'000));
        CPPUNIT_ASSERT(replace(group, 3, 3'000'000));
    }

    // All instances have lost their disks one after the other. The log of the
    // next one to be emptied begins with the first members, none of which is
    // left, and is longer than one message. The newcomer dropped its answers,
    // because its part of the log did not list the leader.
    void emptied_member_answers_a_leader_its_log_does_not_list()
    {
        constexpr std::size_t command_bytes = 40'000;
        node_group group(3);
        for (int i = 0; i < 4; ++i)
        {
            CPPUNIT_ASSERT(group.commit(command_bytes));
        }
        for (std::size_t number = 1; number <= 3; ++number)
        {
            CPPUNIT_ASSERT(replace(group, number, number * 1'000'000));
        }
        CPPUNIT_ASSERT(replace(group, 1, 4'000'000));
    }

    // A leader loses its disk and is back before the others have elected a new
    // one. Guards against conclusions from the silence of members that the new
    // leader has yet to hear.
    void emptied_leader_votes_again()
    {
        node_group group(3);
        for (std::uint64_t turn = 1; turn <= 3; ++turn)
        {
            auto const leader = group.leader();
            CPPUNIT_ASSERT(leader != 0);
            group.lose_disk(leader);
            group.start(leader, 9'000'000 - turn * 1'000'000);
            CPPUNIT_ASSERT(
                node_group::wait_for(contact_time,
                                     [&group] {
                                         return group.is_whole({1, 2, 3});
                                     }));
        }
    }

    static bool bears(node_group& group, int losses)
    {
        return node_group::wait_for(
            contact_time,
            [&]
            {
                auto const at = group.leader();
                return at != 0 &&
                       group.metrics(at).find(
                           "\nturmericswitch_control_losses_borne " +
                           std::to_string(losses) + "\n") != std::string::npos;
            });
    }

    // Guards against a group without its third voter that looks healthy, and
    // against a value of an instance that doesn't lead.
    void leader_shows_that_a_disk_was_lost_and_replaced()
    {
        node_group group(3);
        CPPUNIT_ASSERT(bears(group, 1));
        auto const follower = group.leader() % 3 + 1;
        CPPUNIT_ASSERT(group.metrics(follower).find(
                           "\nturmericswitch_control_losses_borne ") ==
                       std::string::npos);
        group.lose_disk(follower);
        CPPUNIT_ASSERT(bears(group, 0));
        CPPUNIT_ASSERT(
            group.status(group.leader()).find("\"losses_borne\":0") !=
            std::string::npos);
        group.start(follower, 5'000'000);
        CPPUNIT_ASSERT(bears(group, 1));
        CPPUNIT_ASSERT(group.is_whole({1, 2, 3}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_replacement_test);

} // namespace turmericswitch::control::testing
