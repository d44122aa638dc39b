#include "consensus/node/raft_node.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace turmericswitch::consensus
{

namespace
{

using core::member_id;

constexpr core::duration time_step = std::chrono::milliseconds(1);
constexpr core::duration election_timeout = std::chrono::milliseconds(500);

core::group_membership three_members()
{
    core::group_membership group;
    for (std::uint64_t id = 1; id <= 3; ++id)
    {
        group.members.push_back({member_id(id), {}, {}, false});
    }
    return group;
}

/// @param waits By how much each election timer in turn exceeds the election
/// timeout; the last one is repeated.
core::random_source timer_waits(std::vector<core::duration> waits)
{
    return [waits, next = std::size_t{0}]() mutable
    {
        auto const wait = waits[std::min(next, waits.size() - 1)];
        ++next;
        return static_cast<std::uint64_t>(wait.count());
    };
}

/// Two members of three, of which the third one is lost, and the messages
/// between them. Each message takes one step.
class remaining_pair
{
public:
    remaining_pair(core::random_source const& first,
                   core::random_source const& second)
    {
        start(member_id(2), first);
        start(member_id(3), second);
    }

    /// Runs until a member leads.
    ///
    /// @return Time since the start; nothing if it takes more than 10 election
    /// timeouts.
    std::optional<core::duration> time_to_leader()
    {
        while (m_now < 10 * election_timeout)
        {
            step();
            for (auto const& [id, node] : m_nodes)
            {
                if (node.role() == member_role::leader)
                {
                    return m_now;
                }
            }
        }
        return std::nullopt;
    }

    /// @return When each campaign of any member began, in order.
    std::vector<core::duration> const& campaigns() const
    {
        return m_campaigns;
    }

private:
    void start(member_id self, core::random_source const& random)
    {
        raft_options options;
        options.self = self;
        options.election_timeout = election_timeout;
        m_nodes.try_emplace(self,
                            options,
                            bootstrap_state(three_members()),
                            random,
                            core::time_point());
    }

    void step()
    {
        m_now += time_step;
        for (auto const& content : std::exchange(m_messages, {}))
        {
            if (m_nodes.contains(content.to))
            {
                feed(content.to, message{content});
            }
        }
        for (auto const& [id, node] : m_nodes)
        {
            feed(id, tick{});
        }
    }

    void feed(member_id at, event const& input)
    {
        auto const now = core::time_point(m_now);
        for (auto const& output : m_nodes.at(at).handle(now, input))
        {
            if (auto const* const sent = std::get_if<send>(&output))
            {
                m_messages.push_back(sent->content);
            }
            else if (auto const* const changed =
                         std::get_if<role_changed>(&output);
                     changed != nullptr &&
                     changed->role == member_role::pre_candidate)
            {
                m_campaigns.push_back(m_now);
            }
        }
    }

    std::map<member_id, raft_node> m_nodes;
    std::vector<core::consensus_message> m_messages;
    std::vector<core::duration> m_campaigns;
    core::duration m_now{};
};

} // namespace

/// The time without a leader after a member was lost, with the default election
/// timeout, counted from the start of the election timers of the others.
class election_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(election_test);
    CPPUNIT_TEST(first_campaign_wins_within_two_election_timeouts);
    CPPUNIT_TEST(lost_campaign_delays_the_leader_by_one_to_two_timeouts);
    CPPUNIT_TEST(learner_forgets_a_silent_leader);
    CPPUNIT_TEST(change_finds_its_member_in_an_unsorted_group);
    CPPUNIT_TEST_SUITE_END();

    /// Two round trips for the pre-vote and the vote, and one tick.
    static constexpr core::duration voting_time = 5 * time_step;

    // Guards against an election that waits for anything but the first timer
    // that expires.
    void first_campaign_wins_within_two_election_timeouts()
    {
        for (auto const wait : {election_timeout / 10, election_timeout / 2})
        {
            remaining_pair group(
                timer_waits({wait}),
                timer_waits({election_timeout - std::chrono::milliseconds(1)}));
            auto const time = group.time_to_leader();
            CPPUNIT_ASSERT(time.has_value());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), group.campaigns().size());
            CPPUNIT_ASSERT(*time >= election_timeout + wait);
            CPPUNIT_ASSERT(*time <= election_timeout + wait + voting_time);
        }
    }

    // Guards against a split vote that costs more than the next timer: two
    // members whose timers expire at once start the same term, and each
    // refuses the other. Both restart their timers, and the earlier one wins.
    void lost_campaign_delays_the_leader_by_one_to_two_timeouts()
    {
        auto const first_wait = election_timeout / 10;
        for (auto const next_wait :
             {core::duration{}, election_timeout / 3, election_timeout * 4 / 5})
        {
            remaining_pair group(
                timer_waits({first_wait, first_wait, next_wait}),
                timer_waits({first_wait,
                             first_wait,
                             election_timeout - std::chrono::milliseconds(1)}));
            auto const time = group.time_to_leader();
            CPPUNIT_ASSERT(time.has_value());
            auto const& began = group.campaigns();
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), began.size());
            CPPUNIT_ASSERT(began[0] == began[1]);
            auto const delay = began[2] - began[0];
            CPPUNIT_ASSERT(delay >= election_timeout);
            CPPUNIT_ASSERT(delay <= 2 * election_timeout + voting_time);
            CPPUNIT_ASSERT(*time <= began[2] + voting_time);
        }
    }

    // Guards against a learner that names its last leader for good. It was
    // removed without receiving that entry, counted as ready, and never asked
    // to be added again.
    void learner_forgets_a_silent_leader()
    {
        raft_options options;
        options.self = member_id(4);
        options.election_timeout = election_timeout;
        raft_node learner(options,
                          recovered_state{},
                          timer_waits({election_timeout / 2}),
                          core::time_point());
        core::consensus_message const heartbeat{
            member_id(1), member_id(4), core::term(1), core::append_request{}};
        learner.handle(core::time_point(time_step), message{heartbeat});
        CPPUNIT_ASSERT(learner.leader() == member_id(1));
        learner.handle(core::time_point(election_timeout), tick{});
        CPPUNIT_ASSERT(learner.leader() == member_id(1));
        learner.handle(core::time_point(2 * election_timeout), tick{});
        CPPUNIT_ASSERT(!learner.leader());
        CPPUNIT_ASSERT(learner.role() == member_role::follower);
    }

    // Guards against removing or promoting another member than the one that is
    // named, when the first members are not in the order of their ids.
    void change_finds_its_member_in_an_unsorted_group()
    {
        core::group_membership group;
        group.members.push_back({member_id(3), {}, {}, false});
        group.members.push_back({member_id(1), {}, {}, true});
        group.members.push_back({member_id(2), {}, {}, true});
        raft_options options;
        options.self = member_id(3);
        raft_node node(options,
                       bootstrap_state(group),
                       timer_waits({election_timeout / 2}),
                       core::time_point());
        auto const run = [&node](core::duration now, event const& input)
        {
            for (auto const& output : node.handle(core::time_point(now), input))
            {
                if (auto const* const more = std::get_if<append>(&output))
                {
                    auto const& last = more->entries.back();
                    node.handle(core::time_point(now),
                                persisted{last.index, last.entry_term});
                }
            }
        };
        run(2 * election_timeout, tick{});
        CPPUNIT_ASSERT(node.role() == member_role::leader);
        run(2 * election_timeout,
            change_membership{ticket(1),
                              membership_change_kind::remove,
                              {member_id(1), {}, {}, true}});
        auto const& left = node.membership().members;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), left.size());
        CPPUNIT_ASSERT(left[0].id == member_id(3));
        CPPUNIT_ASSERT(left[1].id == member_id(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(election_test);

} // namespace turmericswitch::consensus
