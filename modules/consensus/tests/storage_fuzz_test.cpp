#include "support/consensus_harness.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace turmericswitch::consensus
{

namespace
{

using core::member_id;
using testing::consensus_harness;

/// Steps of 10 ms between two attempts to use a disk that failed.
constexpr std::size_t retry_steps = 25;
/// Steps within which a member must take part again after its disk works: 4 s.
constexpr std::size_t contact_steps = 400;
/// Longer than the harness keeps a call whose answer was lost.
constexpr std::size_t longest_failure_steps = 300;

/// Disks of one member after the other fail and work again while the processes
/// run on. A single failing sync may come later than the repair, and so beside
/// the next failure.
class failing_disks
{
public:
    explicit failing_disks(std::uint64_t seed)
        : m_group(3, seed), m_random(core::seeded_random(seed))
    {
        m_group.run(40);
    }

    void fail_and_repair()
    {
        auto const all = m_group.members();
        m_failing = all[core::random_below(m_random, all.size())];
        begin_failure();
        auto const until =
            1 + core::random_below(m_random, longest_failure_steps);
        for (std::size_t step = 0; step < until; ++step)
        {
            disturb(step);
            run_one(step);
        }
        m_group.disk(m_failing).set_space(std::nullopt);
        m_group.disk(m_failing).fail_syncs(false);
        m_group.stall_disk(m_failing, false);
        m_group.set_network(0, 3);
        m_group.heal();
        expect_whole();
    }

private:
    void begin_failure()
    {
        auto& disk = m_group.disk(m_failing);
        switch (core::random_below(m_random, 4))
        {
        case 0:
            disk.set_space(core::random_below(m_random, 400));
            break;
        case 1:
            disk.fail_syncs(true);
            break;
        case 2:
            disk.fail_next_sync(core::random_below(m_random, 2) == 0);
            break;
        default:
            m_group.stall_disk(m_failing, true);
            break;
        }
    }

    /// Adds a cut, lost messages, a snapshot or a transfer of leadership.
    void disturb(std::size_t step)
    {
        if (step % 40 != 0)
        {
            return;
        }
        auto const all = m_group.members();
        auto const member = all[core::random_below(m_random, all.size())];
        switch (core::random_below(m_random, 6))
        {
        case 0:
            m_group.isolate(member);
            break;
        case 1:
            m_group.set_network(20, 8);
            break;
        case 2:
            m_group.take_snapshot(member);
            break;
        case 3:
            m_group.transfer(member);
            break;
        default:
            m_group.heal();
            break;
        }
    }

    void run_one(std::size_t step)
    {
        if (auto const leader = m_group.leader())
        {
            m_group.propose(*leader);
            m_group.read(*leader);
        }
        m_group.run(1);
        if (step % retry_steps == 0)
        {
            // A sync that was to fail may come only after the repair.
            for (auto const id : m_group.members())
            {
                m_group.recover_storage(id);
            }
        }
    }

    /// Every member has applied an entry that was committed after the repair.
    void expect_whole()
    {
        auto const first = m_group.oracle().last_committed();
        for (std::size_t step = 0; step < contact_steps; ++step)
        {
            run_one(step);
            bool is_whole = m_group.oracle().last_committed() > first;
            for (auto const id : m_group.members())
            {
                is_whole = is_whole && m_group.applied(id) > first;
            }
            if (is_whole)
            {
                return;
            }
        }
        RC_FAIL("a member takes no part" + m_group.describe());
    }

    consensus_harness m_group;
    core::random_source m_random;
    member_id m_failing;
};

} // namespace

class storage_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(storage_fuzz_test);
    CPPUNIT_TEST(members_are_whole_after_their_disks_recover);
    CPPUNIT_TEST_SUITE_END();

    // Guards against lost acknowledged entries and against members that stay
    // silent, when disks are full, fail to sync or stall for a while, several
    // times, beside cuts, lost messages, snapshots and transfers of leadership.
    void members_are_whole_after_their_disks_recover()
    {
        testing::check_property("failing disks",
                                {13, 150, 100},
                                []
                                {
                                    failing_disks group(*rc::gen::noShrink(
                                        rc::gen::arbitrary<std::uint64_t>()));
                                    for (int i = 0; i < 6; ++i)
                                    {
                                        group.fail_and_repair();
                                    }
                                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(storage_fuzz_test);

} // namespace turmericswitch::consensus
