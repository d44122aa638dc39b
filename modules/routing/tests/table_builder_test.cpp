#include "core/results/last_reason.hpp"
#include "routing/table/table_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::routing
{

namespace
{

core::time_point const start{std::chrono::seconds(1)};

core::service_id const book("book");
core::service_id const print("print");

core::backend_entry make_entry(std::string const& name,
                               std::string const& zone,
                               core::service_id const& service)
{
    core::backend_entry entry;
    entry.backend = core::backend_id(name);
    entry.sidecar_incarnation = core::incarnation(1);
    entry.place = {core::zone_id(zone), core::region_id("east")};
    entry.service = service;
    entry.slots = 8;
    return entry;
}

core::watch_answer first_answer()
{
    core::configuration config;
    config.names.push_back({core::name_kind::zone, "a", {"zone-1"}});
    config.names.push_back({core::name_kind::service, "book", {"booking"}});
    for (auto const* zone : {"a", "b"})
    {
        config.zones.push_back(
            {core::zone_id(zone), core::region_id("east"), {}});
    }
    config.services.push_back({book});
    config.services.push_back({print});
    config.routes.push_back({"/", print, {}});
    config.routes.push_back({"/book", book, {"GET"}});
    core::watch_answer answer;
    answer.current = core::revision(5);
    answer.config = config;
    answer.registry = {core::term(2), core::sequence_number(7)};
    answer.whole_registry = true;
    answer.changed = {make_entry("one", "zone-1", core::service_id("booking")),
                      make_entry("two", "b", print)};
    return answer;
}

core::watch_answer delta(core::watch_answer const& base)
{
    auto next = base;
    next.config.reset();
    next.whole_registry = false;
    next.changed.clear();
    next.registry.version =
        core::sequence_number(base.registry.version.value() + 1);
    return next;
}

} // namespace

class table_builder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_builder_test);
    CPPUNIT_TEST(finds_longest_prefix_and_canonical_names);
    CPPUNIT_TEST(zone_change_updates_only_its_services);
    CPPUNIT_TEST(ignores_older_terms_versions_and_revisions);
    CPPUNIT_TEST(load_survives_table_changes_but_not_a_sidecar_restart);
    CPPUNIT_TEST(region_comes_from_the_rules);
    CPPUNIT_TEST(returned_zone_ramps_up);
    CPPUNIT_TEST_SUITE_END();

    void finds_longest_prefix_and_canonical_names()
    {
        auto const table = build_next_table(nullptr, first_answer(), start);
        CPPUNIT_ASSERT(table->find_route("/book?x=/")->service == book);
        CPPUNIT_ASSERT(table->find_route("/label")->service == print);
        auto const& backends = table->find_service(book)->backends;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, backends.size());
        CPPUNIT_ASSERT(backends[0].place.zone == core::zone_id("a"));
    }

    void zone_change_updates_only_its_services()
    {
        auto const table = build_next_table(nullptr, first_answer(), start);
        auto next = delta(first_answer());
        next.config = table->config;
        next.config->zones[1].state = core::zone_state::out_of_service;
        next.current = core::revision(6);
        auto const changed = build_next_table(table.get(), next, start);
        CPPUNIT_ASSERT(changed->find_service(print)->backends[0].zone_out);
        CPPUNIT_ASSERT(changed->find_service(print)->last_changed ==
                       core::revision(6));
        CPPUNIT_ASSERT(changed->find_service(book)->last_changed ==
                       core::revision(5));
    }

    // Guards against applying an answer that is delayed or comes from a deposed
    // leader.
    void ignores_older_terms_versions_and_revisions()
    {
        auto const table = build_next_table(nullptr, first_answer(), start);
        auto old_term = first_answer();
        old_term.registry = {core::term(1), core::sequence_number(99)};
        CPPUNIT_ASSERT(build_next_table(table.get(), old_term, start) ==
                       nullptr);
        CPPUNIT_ASSERT(core::last_reason().code ==
                       core::result_code::stale_sequence);
        auto old_version = first_answer();
        old_version.registry.version = core::sequence_number(6);
        CPPUNIT_ASSERT(build_next_table(table.get(), old_version, start) ==
                       nullptr);
        auto other_epoch = delta(first_answer());
        other_epoch.registry.epoch = core::term(3);
        CPPUNIT_ASSERT(build_next_table(table.get(), other_epoch, start) ==
                       nullptr);

        auto old_revision = delta(first_answer());
        old_revision.config = core::configuration{};
        old_revision.current = core::revision(4);
        auto const next = build_next_table(table.get(), old_revision, start);
        CPPUNIT_ASSERT(next->revision == core::revision(5));
        CPPUNIT_ASSERT(next->find_route("/book") != nullptr);
    }

    // Guards against losing the count of outstanding attempts on a table
    // change, and against keeping the failures of a sidecar's previous
    // incarnation.
    void load_survives_table_changes_but_not_a_sidecar_restart()
    {
        auto const table = build_next_table(nullptr, first_answer(), start);
        auto next = delta(first_answer());
        next.changed = {make_entry("three", "a", book)};
        auto const grown = build_next_table(table.get(), next, start);
        auto const load_of = [](route_table const& of)
        { return of.find_service(book)->backends[0].load; };
        CPPUNIT_ASSERT(load_of(*table) == load_of(*grown));

        next = delta(next);
        next.changed = {make_entry("one", "a", book)};
        next.changed[0].sidecar_incarnation = core::incarnation(2);
        auto const restarted = build_next_table(grown.get(), next, start);
        CPPUNIT_ASSERT(load_of(*grown) != load_of(*restarted));
    }

    // Guards against treating a backend server of the gateway's region as one
    // of another region, with its bytes charged to the region link, because it
    // was announced before the rules named its availability zone.
    void region_comes_from_the_rules()
    {
        auto answer = first_answer();
        answer.changed[0].place.region = core::region_id();
        auto const table = build_next_table(nullptr, answer, start);
        CPPUNIT_ASSERT(
            table->find_service(book)->backends.front().place ==
            (core::location{core::zone_id("a"), core::region_id("east")}));
    }

    // Guards against full load on an availability zone as soon as it returns to
    // service.
    void returned_zone_ramps_up()
    {
        auto answer = first_answer();
        answer.config->zones[0].state = core::zone_state::out_of_service;
        auto const out = build_next_table(nullptr, answer, start);
        auto next = delta(answer);
        next.config = first_answer().config;
        next.current = core::revision(6);
        auto const back = build_next_table(out.get(), next, start);
        auto const& ramp = *back->find_service(book)->backends[0].ramp;
        CPPUNIT_ASSERT_EQUAL(25U, ramp.percent(start));
        CPPUNIT_ASSERT_EQUAL(50U,
                             ramp.percent(start + std::chrono::seconds(5)));
        CPPUNIT_ASSERT_EQUAL(100U,
                             ramp.percent(start + std::chrono::seconds(15)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_builder_test);

} // namespace turmericswitch::routing
