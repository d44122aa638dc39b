#include "node/log_writer.hpp"
#include "support/fake_file_system.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace turmericswitch::control
{

namespace
{

/// Holds every sync of a file of a snapshot until it is released.
class gated_file_system final : public store::file_system
{
public:
    std::unique_ptr<store::append_file> open(std::string const& path) override
    {
        auto file = m_files.open(path);
        if (path.find("snapshots/") == std::string::npos)
        {
            return file;
        }
        return std::make_unique<gated_file>(std::move(file), *this);
    }

    std::optional<std::string> read(std::string const& path) override
    {
        return m_files.read(path);
    }

    std::optional<std::vector<std::string>>
    list(std::string const& folder) override
    {
        return m_files.list(folder);
    }

    bool make_folder(std::string const& folder) override
    {
        return m_files.make_folder(folder);
    }

    bool rename(std::string const& from, std::string const& to) override
    {
        return m_files.rename(from, to);
    }

    bool remove(std::string const& path) override
    {
        return m_files.remove(path);
    }

    bool truncate(std::string const& path, std::uint64_t size) override
    {
        return m_files.truncate(path, size);
    }

    bool sync_folder(std::string const& folder) override
    {
        return m_files.sync_folder(folder);
    }

    std::promise<void> reached;
    std::promise<void> released;

private:
    class gated_file final : public store::append_file
    {
    public:
        gated_file(std::unique_ptr<store::append_file> file,
                   gated_file_system& owner)
            : m_file(std::move(file)), m_owner(owner)
        {
        }

        bool append(std::string_view bytes) override
        {
            return m_file->append(bytes);
        }

        bool sync() override
        {
            m_owner.reached.set_value();
            m_owner.released.get_future().wait();
            return m_file->sync();
        }

    private:
        std::unique_ptr<store::append_file> m_file;
        gated_file_system& m_owner;
    };

    testing::fake_file_system m_files;
};

} // namespace

class log_writer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_writer_test);
    CPPUNIT_TEST(entries_are_durable_while_a_snapshot_is_written);
    CPPUNIT_TEST(snapshot_older_than_an_installed_one_is_not_saved);
    CPPUNIT_TEST_SUITE_END();

    static std::shared_ptr<store::stored_snapshot const>
    snapshot_at(std::uint64_t index)
    {
        return std::make_shared<store::stored_snapshot>(store::stored_snapshot{
            {core::log_index(index), core::term(1), {}}, "state"});
    }

    static store::log_store open_log(store::file_system& files)
    {
        auto log = store::log_store::open(
            files, "log", {core::log_index(0), core::term(0)});
        CPPUNIT_ASSERT(log);
        return std::move(*log);
    }

    // Guards against commits that wait for the sync of a large snapshot; the
    // test hangs then.
    void entries_are_durable_while_a_snapshot_is_written()
    {
        gated_file_system files;
        std::promise<core::log_index> persisted;
        std::promise<core::log_index> saved;
        log_writer writer(
            open_log(files),
            store::snapshot_store(files, "snapshots"),
            [&](core::log_index index, core::term)
            { persisted.set_value(index); },
            [] { CPPUNIT_FAIL("the store failed"); });
        writer.save(
            snapshot_at(1),
            [&](std::shared_ptr<store::stored_snapshot const> const& snapshot)
            { saved.set_value(snapshot->metadata.last_index); });
        files.reached.get_future().wait();
        writer.append({{core::term(1),
                        core::log_index(1),
                        core::entry_kind::command,
                        "entry"}});
        CPPUNIT_ASSERT(persisted.get_future().get() == core::log_index(1));
        files.released.set_value();
        CPPUNIT_ASSERT(saved.get_future().get() == core::log_index(1));
    }

    // Guards against a log that is compacted by an own snapshot which was
    // overtaken by one from the leader.
    void snapshot_older_than_an_installed_one_is_not_saved()
    {
        testing::fake_file_system files;
        std::promise<void> done;
        log_writer writer(
            open_log(files),
            store::snapshot_store(files, "snapshots"),
            [](core::log_index, core::term) {},
            [] { CPPUNIT_FAIL("the store failed"); });
        CPPUNIT_ASSERT(writer.install(*snapshot_at(9)));
        writer.save(snapshot_at(4),
                    [&](std::shared_ptr<store::stored_snapshot const> const&)
                    { done.set_value(); });
        done.get_future().wait();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, files.list("snapshots")->size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_writer_test);

} // namespace turmericswitch::control
