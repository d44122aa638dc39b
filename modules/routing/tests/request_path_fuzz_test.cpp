#include "request_path_simulation.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace turmericswitch::routing
{

namespace
{

// Requests and passing time are more frequent than faults.
constexpr step_kind weighted_kinds[] = {
    step_kind::request,
    step_kind::request,
    step_kind::request,
    step_kind::request,
    step_kind::keyed_request,
    step_kind::keyed_request,
    step_kind::advance,
    step_kind::advance,
    step_kind::advance,
    step_kind::restart_sidecar,
    step_kind::drain,
    step_kind::toggle_zone,
    step_kind::update_route_table,
    step_kind::update_route_table,
    step_kind::cut,
    step_kind::heal,
    step_kind::restart_gateway,
};

using raw_step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

simulation_step to_step(raw_step const& raw)
{
    auto const [kind, a, b] = raw;
    return {weighted_kinds[kind % std::size(weighted_kinds)], a, b};
}

void check(std::string const& name,
           std::uint64_t seed,
           std::string violations::*invariant)
{
    testing::check_property(
        name,
        {seed, 1000, 120},
        [&]
        {
            auto const simulation_seed = *rc::gen::arbitrary<std::uint32_t>();
            auto const steps = *rc::gen::container<std::vector<raw_step>>(
                rc::gen::tuple(rc::gen::arbitrary<std::uint8_t>(),
                               rc::gen::arbitrary<std::uint8_t>(),
                               rc::gen::arbitrary<std::uint8_t>()));
            request_path_simulation simulation(simulation_seed);
            for (auto const& raw : steps)
            {
                simulation.run(to_step(raw));
            }
            auto const found = simulation.finish_and_check();
            RC_ASSERT((found.*invariant).empty());
        });
}

} // namespace

/// Checks one invariant of the simulated request path per test.
class request_path_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_path_fuzz_test);
    CPPUNIT_TEST(non_idempotent_runs_at_most_once);
    CPPUNIT_TEST(refused_requests_never_ran);
    CPPUNIT_TEST(answers_are_complete_and_match_their_request);
    CPPUNIT_TEST(slots_are_never_exceeded);
    CPPUNIT_TEST(nothing_starts_after_drain);
    CPPUNIT_TEST(every_request_ends_once);
    CPPUNIT_TEST(body_crosses_regions_at_most_once);
    CPPUNIT_TEST(nothing_starts_after_its_deadline);
    CPPUNIT_TEST(at_most_two_attempts_are_open);
    CPPUNIT_TEST(all_requests_are_answered_without_faults);
    CPPUNIT_TEST(simulation_includes_winning_hedges);
    CPPUNIT_TEST_SUITE_END();

    void non_idempotent_runs_at_most_once()
    {
        check("at most once", 11, &violations::ran_twice);
    }

    void refused_requests_never_ran()
    {
        check("no run after not_run", 12, &violations::false_not_run);
    }

    void answers_are_complete_and_match_their_request()
    {
        check("complete answers", 13, &violations::wrong_answer);
    }

    void slots_are_never_exceeded()
    {
        check("slots", 14, &violations::slots_exceeded);
    }

    void nothing_starts_after_drain()
    {
        check("start after drain", 15, &violations::start_after_drain);
    }

    void every_request_ends_once()
    {
        check("every request ends", 16, &violations::not_ended);
    }

    void body_crosses_regions_at_most_once()
    {
        check("region link", 17, &violations::crossed_region_twice);
    }

    void nothing_starts_after_its_deadline()
    {
        check("late start", 18, &violations::start_after_deadline);
    }

    void at_most_two_attempts_are_open()
    {
        check("open attempts", 19, &violations::too_many_attempts);
    }

    // Guards against a simulation that never has two attempts open.
    void simulation_includes_winning_hedges()
    {
        request_path_simulation simulation(7);
        for (std::size_t i = 0; i < 200; ++i)
        {
            simulation.run({step_kind::request, 0, 0});
            simulation.run({step_kind::advance, 60, 0});
        }
        simulation.finish_and_check();
        CPPUNIT_ASSERT(simulation.counters().hedges > 50);
        CPPUNIT_ASSERT(simulation.counters().hedge_wins > 10);
    }

    // Guards against a simulation that holds its invariants because every
    // request is refused.
    void all_requests_are_answered_without_faults()
    {
        request_path_simulation simulation(5, false);
        std::size_t const requests = 100;
        for (std::size_t i = 0; i < requests; ++i)
        {
            simulation.run(
                {step_kind::request, static_cast<std::uint8_t>(i), 0});
            simulation.run({step_kind::advance, 100, 0});
        }
        simulation.finish_and_check();
        CPPUNIT_ASSERT_EQUAL(requests, simulation.answered());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_path_fuzz_test);

} // namespace turmericswitch::routing
