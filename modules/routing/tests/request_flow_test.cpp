#include "routing/routing.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::routing
{

namespace
{

using std::chrono::milliseconds;

core::time_point const start{std::chrono::seconds(1)};

template <typename Action>
Action const* find_action(flow_actions const& actions)
{
    for (auto const& action : actions)
    {
        if (auto const* found = std::get_if<Action>(&action))
        {
            return found;
        }
    }
    return nullptr;
}

// Fails the test when there is no such action.
template <typename Action>
Action const& get_action(flow_actions const& actions)
{
    auto const* found = find_action<Action>(actions);
    if (found == nullptr)
    {
        CPPUNIT_FAIL("the flow returned no such action");
    }
    return *found;
}

core::backend_entry make_entry(std::string const& name,
                               std::string const& zone,
                               std::string const& region)
{
    core::backend_entry entry;
    entry.backend = core::backend_id(name);
    entry.sidecar_incarnation = core::incarnation(1);
    entry.place = {core::zone_id(zone), core::region_id(region)};
    entry.service = core::service_id("book");
    entry.slots = 2;
    return entry;
}

} // namespace

/// A gateway in zone "a" with three backend servers: "near" in zone "a", "next"
/// in zone "b" of the same region, and "far" in zone "c" of another region.
class request_flow_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_flow_test);
    CPPUNIT_TEST(prefers_zone_then_region_then_other_region);
    CPPUNIT_TEST(crosses_regions_only_within_the_byte_budget);
    CPPUNIT_TEST(excludes_draining_zone_out_and_ejected);
    CPPUNIT_TEST(refusal_during_drain_is_retried_without_budget);
    CPPUNIT_TEST(newer_refusal_excludes_until_the_table_has_its_revision);
    CPPUNIT_TEST(retries_stop_when_the_budget_is_empty);
    CPPUNIT_TEST(lost_answer_is_cancelled_before_a_retry);
    CPPUNIT_TEST(late_answer_is_dropped_and_counted);
    CPPUNIT_TEST(claim_comes_before_the_first_attempt);
    CPPUNIT_TEST(late_claim_is_released);
    CPPUNIT_TEST(without_table_nothing_is_sent);
    CPPUNIT_TEST(slow_attempt_is_hedged_and_the_first_answer_wins);
    CPPUNIT_TEST(hedge_needs_idempotence_budget_and_free_slot_in_region);
    CPPUNIT_TEST(failed_attempt_leaves_the_other_open);
    CPPUNIT_TEST(refusal_after_deadline_with_two_open_is_outcome_unknown);
    CPPUNIT_TEST(overtaken_backend_server_is_ejected);
    CPPUNIT_TEST(hedge_delay_follows_the_95th_percentile);
    CPPUNIT_TEST_SUITE_END();

    std::shared_ptr<route_table const> m_table;
    flow_counters m_counters;
    flow_context m_context{{core::zone_id("a"), core::region_id("east")},
                           [this] { return m_table; },
                           backend_selector(power_of_two_policy()),
                           core::seeded_random(1),
                           {},
                           &m_counters};
    core::watch_answer m_answer;
    std::uint64_t m_sequence = 0;

    void build()
    {
        m_table = build_next_table(m_table.get(), m_answer, start);
        CPPUNIT_ASSERT(m_table != nullptr);
    }

    std::unique_ptr<request_flow> make_flow(std::string const& method,
                                            std::optional<std::string> key = {})
    {
        caller_request request;
        request.id = {core::incarnation(1),
                      core::sequence_number(++m_sequence)};
        request.content.method = method;
        request.content.target = "/";
        request.content.body = std::string(1000, 'x');
        request.key = std::move(key);
        return std::make_unique<request_flow>(m_context, std::move(request));
    }

    static core::attempt_answer refusal(core::attempt_id const& id,
                                        core::result_code code,
                                        std::uint64_t revision)
    {
        core::attempt_answer answer;
        answer.id = id;
        answer.code = code;
        answer.sidecar_revision = core::revision(revision);
        return answer;
    }

    static core::attempt_answer complete_answer(core::attempt_id const& id)
    {
        core::attempt_answer answer;
        answer.id = id;
        answer.outcome = core::attempt_outcome::ran;
        answer.answer.status = 200;
        return answer;
    }

    // A flow whose first attempt and hedge are both open.
    struct hedged_flow
    {
        std::unique_ptr<request_flow> flow;
        core::attempt_id first;
        core::attempt_id second;
        core::time_point deadline;
    };

    flow_actions expire_hedge_delay(request_flow& flow)
    {
        return flow.timer(start + service().latency->value());
    }

    service_routes const& service() const
    {
        return m_table->services.begin()->second;
    }

    hedged_flow make_hedged_flow()
    {
        hedged_flow result;
        result.flow = make_flow("GET");
        result.first =
            get_action<send_attempt>(result.flow->begin(start)).request.id;
        auto const actions = expire_hedge_delay(*result.flow);
        result.second = get_action<send_attempt>(actions).request.id;
        result.deadline = get_action<set_timer>(actions).until;
        return result;
    }

    std::string
    send_next_request(std::vector<std::unique_ptr<request_flow>>& open_flows)
    {
        open_flows.push_back(make_flow("POST"));
        auto const actions = open_flows.back()->begin(start);
        auto const* sent = find_action<send_attempt>(actions);
        return sent ? sent->backend.value()
                    : std::string(core::to_string(
                          get_action<finish_request>(actions).code));
    }

public:
    void setUp() override
    {
        core::configuration config;
        config.zones = {{core::zone_id("a"), core::region_id("east"), {}},
                        {core::zone_id("b"), core::region_id("east"), {}},
                        {core::zone_id("c"), core::region_id("west"), {}}};
        core::service_rule rule;
        rule.service = core::service_id("book");
        rule.queue_per_backend = 1;
        rule.retry_percent = 0;
        config.services = {rule};
        config.routes = {{"/", rule.service, {"GET"}}};
        m_answer.current = core::revision(1);
        m_answer.config = config;
        m_answer.whole_registry = true;
        m_answer.changed = {make_entry("near", "a", "east"),
                            make_entry("next", "b", "east"),
                            make_entry("far", "c", "west")};
        build();
    }

private:
    void prefers_zone_then_region_then_other_region()
    {
        std::vector<std::unique_ptr<request_flow>> open_flows;
        std::map<std::string, int> taken;
        std::string order;
        for (int i = 0; i < 10; ++i)
        {
            auto const target = send_next_request(open_flows);
            order += taken[target]++ == 0 ? target + " " : "";
        }
        CPPUNIT_ASSERT_EQUAL(std::string("near next far no_capacity "), order);
        CPPUNIT_ASSERT_EQUAL(3, taken["near"]);
        CPPUNIT_ASSERT_EQUAL(3, taken["far"]);
    }

    // Guards against unlimited bytes on the billed region link when the own
    // region is out of service.
    void crosses_regions_only_within_the_byte_budget()
    {
        m_answer.config->services[0].region_bytes_per_second =
            core::byte_count(500);
        m_answer.config->zones[0].state = core::zone_state::out_of_service;
        m_answer.config->zones[1].state = core::zone_state::out_of_service;
        m_answer.current = core::revision(2);
        build();
        std::vector<std::unique_ptr<request_flow>> open_flows;
        CPPUNIT_ASSERT_EQUAL(std::string("far"), send_next_request(open_flows));
        CPPUNIT_ASSERT_EQUAL(std::string("region_budget_empty"),
                             send_next_request(open_flows));
    }

    void excludes_draining_zone_out_and_ejected()
    {
        m_answer.changed[0].draining = true;
        m_answer.config->zones[1].state = core::zone_state::out_of_service;
        m_answer.current = core::revision(2);
        build();
        auto const flow = make_flow("POST");
        auto const actions = flow->begin(start);
        auto const* sent = &get_action<send_attempt>(actions);
        CPPUNIT_ASSERT_EQUAL(std::string("far"), sent->backend.value());
        std::vector<core::runner_up> const expected{
            {"near", "leaving"}, {"next", "availability zone out"}};
        CPPUNIT_ASSERT(expected == sent->record.runners_up);

        m_answer.changed[0].draining = false;
        build();
        for (auto const& target : m_table->services.begin()->second.backends)
        {
            for (int i = 0; i < 5 && target.entry.backend.value() == "near";
                 ++i)
            {
                target.outlier->failed(start);
            }
        }
        std::vector<std::unique_ptr<request_flow>> open_flows;
        CPPUNIT_ASSERT_EQUAL(std::string("far"), send_next_request(open_flows));
    }

    // Guards against a drain that uses up the retry budget: such a refusal is
    // no failure of the backend server.
    void refusal_during_drain_is_retried_without_budget()
    {
        auto const& retries = m_table->services.begin()->second.retries;
        auto const flow = make_flow("POST");
        auto const actions = flow->begin(start);
        auto const id = get_action<send_attempt>(actions).request.id;
        auto const before = retries->tokens();
        auto const next = flow->attempt_answered(
            start, refusal(id, core::result_code::draining, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("next"),
                             get_action<send_attempt>(next).backend.value());
        CPPUNIT_ASSERT_EQUAL(before, retries->tokens());
    }

    // Guards against sending more attempts to a sidecar that already refused
    // for a configuration that this gateway has not received yet.
    void newer_refusal_excludes_until_the_table_has_its_revision()
    {
        auto const flow = make_flow("POST");
        auto const actions = flow->begin(start);
        auto const id = get_action<send_attempt>(actions).request.id;
        flow->attempt_answered(start,
                               refusal(id, core::result_code::zone_out, 2));
        std::vector<std::unique_ptr<request_flow>> open_flows;
        CPPUNIT_ASSERT_EQUAL(std::string("next"),
                             send_next_request(open_flows));
        m_answer.current = core::revision(2);
        build();
        CPPUNIT_ASSERT_EQUAL(std::string("near"),
                             send_next_request(open_flows));
    }

    // Guards against retries that amplify an overload.
    void retries_stop_when_the_budget_is_empty()
    {
        auto const& retries = m_table->services.begin()->second.retries;
        while (retries->try_spend())
        {
        }
        auto const flow = make_flow("POST");
        auto const actions = flow->begin(start);
        auto const id = get_action<send_attempt>(actions).request.id;
        auto const end = flow->attempt_answered(
            start, refusal(id, core::result_code::no_capacity, 1));
        auto const* done = &get_action<finish_request>(end);
        CPPUNIT_ASSERT(done->outcome == core::attempt_outcome::not_run);
        CPPUNIT_ASSERT(done->code == core::result_code::retry_budget_empty);
    }

    // Guards against running a non-idempotent request twice: the attempt whose
    // answer was lost may still be queued.
    void lost_answer_is_cancelled_before_a_retry()
    {
        auto const flow = make_flow("POST");
        auto const actions = flow->begin(start);
        auto const id = get_action<send_attempt>(actions).request.id;
        auto const lost = flow->attempt_lost(start, id);
        CPPUNIT_ASSERT(find_action<send_attempt>(lost) == nullptr);
        CPPUNIT_ASSERT(get_action<send_cancel>(lost).request.id == id);
        auto const cancelled =
            flow->cancel_answered(start, id, core::cancel_outcome::cancelled);
        auto const again = flow->timer(get_action<set_timer>(cancelled).until);
        CPPUNIT_ASSERT(get_action<send_attempt>(again).request.id != id);
    }

    // Guards against an answer of an abandoned attempt that is taken for that
    // of the current one.
    void late_answer_is_dropped_and_counted()
    {
        auto const flow = make_flow("GET");
        auto const actions = flow->begin(start);
        core::attempt_answer answer;
        answer.id = get_action<send_attempt>(actions).request.id;
        answer.outcome = core::attempt_outcome::ran;
        answer.answer.status = 200;
        flow->attempt_lost(start, answer.id);
        CPPUNIT_ASSERT(flow->attempt_answered(start, answer).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_counters.late_answers.load());
    }

    // Guards against running a request whose key control could not claim.
    void claim_comes_before_the_first_attempt()
    {
        auto const flow = make_flow("POST", "key");
        auto const actions = flow->begin(start);
        CPPUNIT_ASSERT(find_action<send_claim>(actions) != nullptr);
        CPPUNIT_ASSERT(find_action<send_attempt>(actions) == nullptr);
        auto const end =
            flow->claim_answered(start, core::result_code::no_quorum);
        CPPUNIT_ASSERT(!get_action<end_claim>(end).command.ran);
        auto const* done = &get_action<finish_request>(end);
        CPPUNIT_ASSERT(done->outcome == core::attempt_outcome::not_run);
        CPPUNIT_ASSERT(done->code == core::result_code::no_quorum);
    }

    // Guards against a key that stays claimed although its request didn't run:
    // control grants the claim after the request's deadline.
    void late_claim_is_released()
    {
        auto const flow = make_flow("POST", "key");
        auto const actions = flow->begin(start);
        auto const end = flow->timer(get_action<set_timer>(actions).until);
        CPPUNIT_ASSERT(get_action<finish_request>(end).code ==
                       core::result_code::deadline_exceeded);
        auto const late = flow->claim_answered(start, core::result_code::ok);
        CPPUNIT_ASSERT(!get_action<end_claim>(late).command.ran);
    }

    // Guards against a stalled backend server that delays a request until its
    // deadline.
    void slow_attempt_is_hedged_and_the_first_answer_wins()
    {
        service().latency->record(milliseconds(10));
        auto const tokens = service().retries->tokens();
        for (bool const second_wins : {true, false})
        {
            auto const open = make_hedged_flow();
            auto const& winner = second_wins ? open.second : open.first;
            auto const& loser = second_wins ? open.first : open.second;
            auto const at = start + milliseconds(100);
            auto const end =
                open.flow->attempt_answered(at, complete_answer(winner));
            CPPUNIT_ASSERT(get_action<finish_request>(end).outcome ==
                           core::attempt_outcome::ran);
            CPPUNIT_ASSERT(get_action<send_cancel>(end).request.id == loser);
            CPPUNIT_ASSERT(
                open.flow->attempt_answered(at, complete_answer(loser))
                    .empty());
        }
        CPPUNIT_ASSERT_EQUAL(tokens - 2, service().retries->tokens());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_counters.hedges.load());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_counters.hedge_wins.load());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_counters.hedge_losers.load());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_counters.late_answers.load());
    }

    // Guards against hedges that overload a backend server, cross the region
    // link, use up the retry budget or repeat a non-idempotent request.
    void hedge_needs_idempotence_budget_and_free_slot_in_region()
    {
        service().latency->record(milliseconds(10));
        auto const hedges = [this](std::string const& method)
        {
            auto const flow = make_flow(method);
            flow->begin(start);
            return find_action<send_attempt>(expire_hedge_delay(*flow)) !=
                   nullptr;
        };
        CPPUNIT_ASSERT(hedges("GET"));
        CPPUNIT_ASSERT(!hedges("POST"));
        auto const& next = service().backends[2];
        CPPUNIT_ASSERT_EQUAL(std::string("next"), next.entry.backend.value());
        CPPUNIT_ASSERT(next.load->try_acquire(2) && next.load->try_acquire(2));
        CPPUNIT_ASSERT(!hedges("GET"));
        next.load->release();
        CPPUNIT_ASSERT(hedges("GET"));
        // Half of the ten tokens is kept for retries after failures.
        while (service().retries->tokens() > 5)
        {
            service().retries->try_spend();
        }
        CPPUNIT_ASSERT(!hedges("GET"));
    }

    // Guards against a third attempt, or an end of the request, while the
    // other attempt may still be answered.
    void failed_attempt_leaves_the_other_open()
    {
        service().latency->record(milliseconds(10));
        auto const open = make_hedged_flow();
        auto const at = start + milliseconds(100);
        auto const lost = open.flow->attempt_lost(at, open.first);
        CPPUNIT_ASSERT(find_action<send_attempt>(lost) == nullptr);
        CPPUNIT_ASSERT(find_action<finish_request>(lost) == nullptr);
        CPPUNIT_ASSERT(open.flow->timer(at + milliseconds(500)).empty());
        auto const end =
            open.flow->attempt_answered(at, complete_answer(open.second));
        CPPUNIT_ASSERT(get_action<finish_request>(end).outcome ==
                       core::attempt_outcome::ran);
    }

    // Guards against a false `not_run`: one attempt is refused after the
    // deadline while the other may be running.
    void refusal_after_deadline_with_two_open_is_outcome_unknown()
    {
        service().latency->record(milliseconds(10));
        auto const open = make_hedged_flow();
        auto const end = open.flow->attempt_answered(
            open.deadline,
            refusal(open.first, core::result_code::no_capacity, 1));
        CPPUNIT_ASSERT(get_action<finish_request>(end).outcome ==
                       core::attempt_outcome::unknown);
        CPPUNIT_ASSERT(get_action<send_cancel>(end).request.id == open.second);
        for (auto const& target : service().backends)
        {
            CPPUNIT_ASSERT_EQUAL(0U, target.load->outstanding());
        }
    }

    // Guards against a silently partitioned backend server that stays in use
    // because hedges answer its requests.
    void overtaken_backend_server_is_ejected()
    {
        service().latency->record(milliseconds(10));
        auto const& near = service().backends[1];
        CPPUNIT_ASSERT_EQUAL(std::string("near"), near.entry.backend.value());
        auto const at = start + milliseconds(100);
        for (int i = 0; i < 5; ++i)
        {
            CPPUNIT_ASSERT(!near.outlier->ejected());
            auto const open = make_hedged_flow();
            open.flow->attempt_answered(at, complete_answer(open.second));
        }
        CPPUNIT_ASSERT(near.outlier->ejected());
        CPPUNIT_ASSERT(near.load->latency() == milliseconds(100));
    }

    // Guards against a hedge delay that drifts away from the percentile.
    void hedge_delay_follows_the_95th_percentile()
    {
        latency_quantile quantile;
        CPPUNIT_ASSERT(quantile.value() == core::duration::zero());
        double sum = 0;
        constexpr int samples = 20'000;
        for (int i = 0; i < samples; ++i)
        {
            quantile.record(milliseconds(i * 7919 % 1000 + 1));
            sum += i < samples / 2
                       ? 0
                       : static_cast<double>(quantile.value().count());
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            950'000.0, sum / (static_cast<double>(samples) / 2), 30'000.0);
    }

    void without_table_nothing_is_sent()
    {
        m_table = nullptr;
        auto const actions = make_flow("GET")->begin(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        CPPUNIT_ASSERT(get_action<finish_request>(actions).code ==
                       core::result_code::not_ready);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_flow_test);

} // namespace turmericswitch::routing
