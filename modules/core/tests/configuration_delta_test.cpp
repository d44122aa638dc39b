#include "core/config/configuration_delta.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

namespace turmericswitch::core
{

namespace
{

/// Few names, so that elements repeat, move and change.
configuration any_configuration()
{
    configuration whole;
    whole.document.version = *rc::gen::inRange(1, 9);
    auto const names =
        *rc::gen::container<std::string>(rc::gen::inRange('a', 'h'));
    for (char const name : names)
    {
        queue_rule queue;
        queue.queue = queue_id(std::string(1, name));
        queue.priority = *rc::gen::inRange(0, 3);
        whole.document.queues.push_back(queue);
        whole.document.pools.push_back({service_id(std::string(1, name))});
        whole.document.source +=
            '{' + std::to_string(queue.priority) + name + '}';
    }
    whole.document.source += *rc::gen::element<std::string>("", "]", "}}");
    if (*rc::gen::arbitrary<bool>())
    {
        whole.zones.push_back({zone_id("z"), region_id("r"), {}});
        whole.evacuated = {zone_id("z")};
    }
    return whole;
}

} // namespace

class configuration_delta_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_delta_test);
    CPPUNIT_TEST(delta_gives_the_next_configuration);
    CPPUNIT_TEST(delta_that_does_not_fit_is_refused);
    CPPUNIT_TEST_SUITE_END();

    // Guards against processes whose configuration differs from the operator's
    // after added, removed, moved, changed or repeated queues.
    void delta_gives_the_next_configuration()
    {
        testing::check_property("delta gives the next configuration",
                                {},
                                []
                                {
                                    auto const base = any_configuration();
                                    auto const next = any_configuration();
                                    auto const result = apply_delta(
                                        base, make_delta(base, next));
                                    RC_ASSERT(result.has_value());
                                    RC_ASSERT(*result == next);
                                });
    }

    // Guards against reading outside a list, and against half-applied deltas.
    void delta_that_does_not_fit_is_refused()
    {
        std::vector<int> const base{1, 2};
        CPPUNIT_ASSERT(!apply_edit(base, list_edit<int>{{2}, {}}));
        CPPUNIT_ASSERT(!apply_edit(base, list_edit<int>{{1, 0}, {}}));
        CPPUNIT_ASSERT(!apply_edit(base, list_edit<int>{{}, {{3, 7}}}));
        CPPUNIT_ASSERT(apply_edit(base, list_edit<int>{{}, {{2, 7}}}) ==
                       std::vector({1, 2, 7}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_delta_test);

} // namespace turmericswitch::core
