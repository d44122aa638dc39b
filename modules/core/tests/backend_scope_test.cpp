#include "core/config/backend_scope.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <algorithm>

namespace turmericswitch::core
{

namespace
{

std::string any_name()
{
    return std::string(1, *rc::gen::inRange('a', 'h'));
}

std::vector<std::string> any_names()
{
    return *rc::gen::container<std::vector<std::string>>(
        rc::gen::exec(any_name));
}

configuration any_configuration()
{
    configuration whole;
    for (auto const& name : any_names())
    {
        whole.names.push_back({*rc::gen::element(name_kind::instance,
                                                 name_kind::zone,
                                                 name_kind::service),
                               name,
                               any_names()});
    }
    for (auto const& name : any_names())
    {
        whole.zones.push_back({zone_id(name), region_id("r"), {}});
        whole.leaving.push_back({backend_id(any_name())});
        whole.quotas.push_back({team_id(name), {}});
        whole.services.push_back({});
        whole.services.back().service = service_id(any_name());
    }
    return whole;
}

/// @return All names of the thing, so far as the configuration says.
std::vector<std::string> canonical_names(configuration const& config,
                                         name_kind kind,
                                         std::string const& name)
{
    std::vector<std::string> found{name};
    for (auto const& entry : config.names)
    {
        auto const& known = entry.aliases;
        if (entry.kind == kind &&
            (entry.canonical == name ||
             std::count(known.begin(), known.end(), name) > 0))
        {
            found.push_back(entry.canonical);
        }
    }
    return found;
}

/// What a sidecar can ask: the rules on its three names, in order.
configuration answers(configuration const& config, backend_scope const& scope)
{
    configuration found;
    for (auto const& name :
         canonical_names(config, name_kind::zone, scope.zone.value()))
    {
        for (auto const& rule : config.zones)
        {
            if (rule.zone.value() == name)
            {
                found.zones.push_back(rule);
            }
        }
    }
    for (auto const& name :
         canonical_names(config, name_kind::service, scope.service.value()))
    {
        for (auto const& rule : config.services)
        {
            if (rule.service.value() == name)
            {
                found.services.push_back(rule);
            }
        }
    }
    for (auto const& name :
         canonical_names(config, name_kind::instance, scope.backend.value()))
    {
        for (auto const& rule : config.leaving)
        {
            if (rule.backend.value() == name)
            {
                found.leaving.push_back(rule);
            }
        }
    }
    return found;
}

} // namespace

class backend_scope_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(backend_scope_test);
    CPPUNIT_TEST(sidecar_reads_the_same_from_the_reduced_configuration);
    CPPUNIT_TEST(size_does_not_depend_on_others);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a sidecar that misses its limits, its drain or its zone
    // because they were left out.
    void sidecar_reads_the_same_from_the_reduced_configuration()
    {
        testing::check_property(
            "reduced configuration",
            {},
            []
            {
                auto const whole = any_configuration();
                backend_scope const scope{backend_id(any_name()),
                                          service_id(any_name()),
                                          zone_id(any_name())};
                auto const reduced = reduced_to(scope, whole);
                RC_ASSERT(answers(reduced, scope) == answers(whole, scope));
                RC_ASSERT(reduced.quotas.empty());
            });
    }

    // Guards against bytes per sidecar that grow with all services.
    void size_does_not_depend_on_others()
    {
        configuration whole;
        for (int i = 0; i < 100; ++i)
        {
            auto const name = std::to_string(i);
            whole.names.push_back({name_kind::service, name, {name}});
            whole.services.push_back({});
            whole.services.back().service = service_id(name);
            whole.routes.push_back({"/" + name, service_id(name), {}});
        }
        auto const reduced =
            reduced_to({backend_id("b"), service_id("7"), zone_id("z")}, whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reduced.names.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reduced.services.size());
        CPPUNIT_ASSERT(reduced.routes.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_scope_test);

} // namespace turmericswitch::core
