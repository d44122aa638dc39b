#ifndef TURMERICSWITCH_CONTROL_TESTS_NODE_GROUP_HPP
#define TURMERICSWITCH_CONTROL_TESTS_NODE_GROUP_HPP

#include "api/process_api.hpp"
#include "node/control_node.hpp"
#include "node/recovery.hpp"
#include "support/fake_file_system.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace turmericswitch::control::testing
{

/// Control instances in one process that manage their group's membership and
/// reach each other over loopback. An instance keeps its address when its
/// process ends and when its disk is lost.
class node_group
{
public:
    /// Bootstraps a group and waits until it has a leader.
    explicit node_group(std::size_t size);
    ~node_group();

    node_group(node_group const&) = delete;
    node_group& operator=(node_group const&) = delete;

    /// Starts an instance with what its disk has.
    ///
    /// @param number From 1.
    /// @param seed Determines the member id if the disk is empty; a larger seed
    /// gives a larger id.
    void start(std::size_t number, std::uint64_t seed);
    /// Ends the process of an instance and loses all that it has not synced.
    void crash(std::size_t number);
    /// Crashes an instance and empties its disk.
    void lose_disk(std::size_t number);

    /// @return The member id of a running instance.
    core::member_id id_of(std::size_t number) const;
    /// @return The membership according to a running instance.
    core::group_membership membership(std::size_t number);
    /// @return The number of the instance that leads; 0 if there is none.
    std::size_t leader();
    /// @return True if the leader's group consists of the given instances and
    /// all of them vote.
    bool is_whole(std::vector<std::size_t> const& numbers);

    /// @return The metrics of a running instance as text.
    std::string metrics(std::size_t number) const;
    /// @return The body of `/v1/local-status` of a running instance.
    std::string status(std::size_t number);

    /// Commits a command at the leader.
    ///
    /// @param bytes Size of the command.
    /// @return False if it was not acknowledged in time.
    bool commit(std::size_t bytes);

    /// @return False if the condition does not hold within the time.
    static bool wait_for(std::chrono::milliseconds limit,
                         std::function<bool()> const& done);

private:
    struct instance;

    void listen(instance& each);
    void run(instance& each, std::function<void()> work);

    transport::io_pool m_io{2};
    std::vector<std::unique_ptr<instance>> m_instances;
};

} // namespace turmericswitch::control::testing

#endif
