#include "api/group_status_json.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace turmericswitch::control::testing
{

/// Guards against members of `/v1/status` that tools can't rely on.
class group_status_json_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(group_status_json_test);
    CPPUNIT_TEST(lists_each_member_and_the_losses_borne);
    CPPUNIT_TEST_SUITE_END();

    void lists_each_member_and_the_losses_borne()
    {
        using core::member_id;
        core::time_point const now(std::chrono::minutes(1));
        consensus::group_view view;
        view.self = member_id(1);
        view.last_index = core::log_index(30);
        view.members.members = {
            {member_id(1), {"10.0.0.1", 1}, {"10.0.0.1", 2}, false},
            {member_id(2), {"10.0.0.2", 1}, {"10.0.0.2", 2}, false},
            {member_id(3), {"10.0.0.3", 1}, {"10.0.0.3", 2}, true}};
        consensus::replication_status voter;
        voter.member = member_id(2);
        voter.is_voter = true;
        voter.has_answered = true;
        voter.last_answer = now - std::chrono::milliseconds(15);
        voter.match = core::log_index(29);
        consensus::replication_status learner;
        learner.member = member_id(3);
        learner.last_answer = now - std::chrono::milliseconds(700);
        view.others = {voter, learner};

        auto const expected = nlohmann::json::parse(R"({
            "voters": 2, "answering_voters": 2, "members_without_vote": 1,
            "losses_borne": 0,
            "members": [
                {"id": 1, "rpc": "10.0.0.1:1", "http": "10.0.0.1:2",
                 "role": "leader", "lag": 0},
                {"id": 2, "rpc": "10.0.0.2:1", "http": "10.0.0.2:2",
                 "role": "voter", "lag": 1, "answered": true,
                 "answer_ms": 15},
                {"id": 3, "rpc": "10.0.0.3:1", "http": "10.0.0.3:2",
                 "role": "learner", "lag": 30, "answered": false,
                 "answer_ms": 700}]})");
        CPPUNIT_ASSERT_EQUAL(expected.dump(),
                             group_status_json(view, now).dump());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(group_status_json_test);

} // namespace turmericswitch::control::testing
