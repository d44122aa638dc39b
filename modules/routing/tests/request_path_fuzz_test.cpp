#include "request_path_simulation.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace turmericswitch::routing
{

namespace
{

// Requests and time pass more often than faults.
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
    step_kind::zone,
    step_kind::sync_gateway,
    step_kind::sync_gateway,
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
           std::string violations::*broken)
{
    testing::check_property(
        name,
        {seed, 1000, 120},
        [&]
        {
            auto const world_seed = *rc::gen::arbitrary<std::uint32_t>();
            auto const steps = *rc::gen::container<std::vector<raw_step>>(
                rc::gen::tuple(rc::gen::arbitrary<std::uint8_t>(),
                               rc::gen::arbitrary<std::uint8_t>(),
                               rc::gen::arbitrary<std::uint8_t>()));
            request_path_simulation world(world_seed);
            for (auto const& raw : steps)
            {
                world.run(to_step(raw));
            }
            auto const found = world.settle();
            RC_ASSERT((found.*broken).empty());
        });
}

} // namespace

/// Gateways and sidecars under faults, one promise per test.
class request_path_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_path_fuzz_test);
    CPPUNIT_TEST(non_idempotent_runs_at_most_once);
    CPPUNIT_TEST(not_run_is_true);
    CPPUNIT_TEST(answers_are_whole_and_own);
    CPPUNIT_TEST(slots_are_never_exceeded);
    CPPUNIT_TEST(nothing_starts_after_drain);
    CPPUNIT_TEST(every_request_ends_once);
    CPPUNIT_TEST(body_crosses_regions_at_most_once);
    CPPUNIT_TEST(nothing_starts_after_its_deadline);
    CPPUNIT_TEST(at_most_two_attempts_are_open);
    CPPUNIT_TEST(all_requests_are_answered_without_faults);
    CPPUNIT_TEST(hedges_happen_and_win);
    CPPUNIT_TEST_SUITE_END();

    void non_idempotent_runs_at_most_once()
    {
        check("at most once", 11, &violations::at_most_once);
    }

    void not_run_is_true()
    {
        check("truthful refusal", 12, &violations::truthful_refusal);
    }

    void answers_are_whole_and_own()
    {
        check("whole answers", 13, &violations::whole_answers);
    }

    void slots_are_never_exceeded()
    {
        check("slots", 14, &violations::slots);
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
        check("region link", 17, &violations::region_twice);
    }

    void nothing_starts_after_its_deadline()
    {
        check("late start", 18, &violations::late_start);
    }

    void at_most_two_attempts_are_open()
    {
        check("open attempts", 19, &violations::too_many_attempts);
    }

    // Guards against a fuzz that never has two attempts open.
    void hedges_happen_and_win()
    {
        request_path_simulation world(7);
        for (std::size_t i = 0; i < 200; ++i)
        {
            world.run({step_kind::request, 0, 0});
            world.run({step_kind::advance, 60, 0});
        }
        world.settle();
        CPPUNIT_ASSERT(world.counters().hedges > 50);
        CPPUNIT_ASSERT(world.counters().hedge_wins > 10);
    }

    // Guards against a fuzz that passes because every request is refused.
    void all_requests_are_answered_without_faults()
    {
        request_path_simulation world(5, false);
        std::size_t const requests = 100;
        for (std::size_t i = 0; i < requests; ++i)
        {
            world.run({step_kind::request, static_cast<std::uint8_t>(i), 0});
            world.run({step_kind::advance, 100, 0});
        }
        world.settle();
        CPPUNIT_ASSERT_EQUAL(requests, world.answered());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_path_fuzz_test);

} // namespace turmericswitch::routing
