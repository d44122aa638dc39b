#include "cluster_state/leader/backend_registry.hpp"
#include "core/hooks/random_source.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace turmericswitch::cluster_state
{

using namespace core;

namespace
{

using registry_copy = std::map<backend_id, backend_entry>;

void apply_changes(backend_registry const& registry,
                   registry_version& known,
                   registry_copy& copy)
{
    watch_answer answer;
    registry.changes_since(known, answer);
    if (answer.whole_registry)
    {
        copy.clear();
    }
    for (auto const& entry : answer.changed)
    {
        copy[entry.backend] = entry;
    }
    for (auto const& backend : answer.removed)
    {
        copy.erase(backend);
    }
    known = answer.registry;
}

} // namespace

class backend_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(backend_registry_test);
    CPPUNIT_TEST(deltas_rebuild_the_registry);
    CPPUNIT_TEST(other_epoch_or_dropped_changes_give_all_entries);
    CPPUNIT_TEST_SUITE_END();

    // Guards against processes that miss a change, and entries that stay after
    // their lease has expired.
    void deltas_rebuild_the_registry()
    {
        testing::check_property(
            "registry deltas",
            {.seed = 41},
            []
            {
                auto const random = seeded_random(
                    *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
                duration const lease(10);
                backend_registry registry(term(1), lease);
                registry_version known;
                registry_copy copy;
                registry_copy oracle;
                std::map<backend_id, time_point> ends;
                time_point now;
                for (int i = 0; i < 60; ++i)
                {
                    now += duration(static_cast<int>(random_below(random, 4)));
                    backend_entry entry;
                    entry.backend =
                        backend_id(std::to_string(random_below(random, 5)));
                    entry.slots =
                        static_cast<std::uint32_t>(random_below(random, 2));
                    registry.remove_expired(now);
                    std::erase_if(oracle,
                                  [&](auto const& each)
                                  { return ends[each.first] <= now; });
                    registry.announce({entry, {}}, false, {}, now);
                    oracle[entry.backend] = entry;
                    ends[entry.backend] = now + lease;
                    if (random_below(random, 3) == 0)
                    {
                        apply_changes(registry, known, copy);
                        RC_ASSERT(copy == oracle);
                    }
                }
            });
    }

    // Guards against applying deltas to a copy of another leader's registry or
    // to one that is too old, and an announcement of an earlier incarnation.
    void other_epoch_or_dropped_changes_give_all_entries()
    {
        backend_registry registry(term(2), std::chrono::seconds(1));
        for (std::size_t i = 0; i < max_registry_changes + 5; ++i)
        {
            announce_request request;
            request.entry.backend = backend_id("b");
            request.entry.slots = static_cast<std::uint32_t>(i);
            registry.announce(request, false, {}, {});
        }
        auto const is_whole = [&registry](std::uint64_t epoch, std::uint64_t at)
        {
            watch_answer answer;
            registry.changes_since({term(epoch), sequence_number(at)}, answer);
            return answer.whole_registry;
        };
        CPPUNIT_ASSERT(is_whole(1, 100));
        CPPUNIT_ASSERT(is_whole(2, 4));
        CPPUNIT_ASSERT(!is_whole(2, 5));
        announce_request older;
        older.entry.backend = backend_id("c");
        older.entry.sidecar_incarnation = incarnation(5);
        registry.announce(older, false, {}, {});
        older.entry.sidecar_incarnation = incarnation(4);
        CPPUNIT_ASSERT(registry.announce(older, false, {}, {}).code ==
                       result_code::wrong_incarnation);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_registry_test);

} // namespace turmericswitch::cluster_state
