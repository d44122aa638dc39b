#include "naming/table/name_table.hpp"

#include "core/results/last_reason.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::naming
{

using namespace core;

class name_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(name_table_test);
    CPPUNIT_TEST(names_merge_across_declarations);
    CPPUNIT_TEST(two_names_in_one_scheme_are_refused_with_both_lines);
    CPPUNIT_TEST(kinds_have_separate_namespaces);
    CPPUNIT_TEST_SUITE_END();

    // Guards against one object with two canonical names.
    void names_merge_across_declarations()
    {
        name_table table;
        CPPUNIT_ASSERT(table.add(
            {name_kind::zone, {{name_scheme::short_name, "az-a"}}}, 1));
        CPPUNIT_ASSERT(
            table.add({name_kind::zone, {{name_scheme::asset, "Z1"}}}, 2));
        CPPUNIT_ASSERT(table.add(
            {name_kind::zone,
             {{name_scheme::asset, "Z1"}, {name_scheme::dns, "a.north"}}},
            3));
        CPPUNIT_ASSERT(table.add({name_kind::zone,
                                  {{name_scheme::dns, "a.north"},
                                   {name_scheme::short_name, "az-a"}}},
                                 4));
        CPPUNIT_ASSERT(*table.resolve(name_kind::zone, "Z1") == "az-a");
        CPPUNIT_ASSERT(*table.resolve(name_kind::zone, "a.north") == "az-a");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.entries().size());
    }

    // Guards against a shared name that silently merges two different objects.
    void two_names_in_one_scheme_are_refused_with_both_lines()
    {
        name_table table;
        table.add({name_kind::service,
                   {{name_scheme::short_name, "booking"},
                    {name_scheme::asset, "S1"}}},
                  4);
        CPPUNIT_ASSERT(!table.add(
            {name_kind::service,
             {{name_scheme::short_name, "proofs"}, {name_scheme::asset, "S1"}}},
            9));
        auto const& why = last_reason();
        CPPUNIT_ASSERT(why.code == result_code::name_ambiguous);
        CPPUNIT_ASSERT(why.text.find("line 4") != std::string::npos);
        CPPUNIT_ASSERT(why.text.find("line 9") != std::string::npos);
        CPPUNIT_ASSERT(!table.resolve(name_kind::service, "proofs"));
    }

    // Guards against resolving a service by the name of an availability zone.
    void kinds_have_separate_namespaces()
    {
        name_table table;
        table.add({name_kind::zone, {{name_scheme::short_name, "x"}}}, 1);
        CPPUNIT_ASSERT(!table.resolve(name_kind::service, "x"));
        CPPUNIT_ASSERT(last_reason().code == result_code::name_unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(name_table_test);

} // namespace turmericswitch::naming
