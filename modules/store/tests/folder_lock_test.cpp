#include "store/files/folder_lock.hpp"

#include "core/results/last_reason.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>

namespace turmericswitch::store
{

class folder_lock_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(folder_lock_test);
    CPPUNIT_TEST(second_holder_is_refused_until_the_first_ends);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two processes that vote under one identity.
    void second_holder_is_refused_until_the_first_ends()
    {
        std::string pattern = "/tmp/turmericswitch-lock.XXXXXX";
        std::string const parent = ::mkdtemp(pattern.data());
        auto const folder = parent + "/data";
        auto first = folder_lock::acquire(folder);
        CPPUNIT_ASSERT(first != nullptr);
        CPPUNIT_ASSERT(folder_lock::acquire(folder) == nullptr);
        CPPUNIT_ASSERT(core::last_reason().code ==
                       core::result_code::io_failed);
        first.reset();
        CPPUNIT_ASSERT(folder_lock::acquire(folder) != nullptr);
        std::filesystem::remove_all(parent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(folder_lock_test);

} // namespace turmericswitch::store
