#ifndef TURMERICSWITCH_STORE_STATE_HARD_STATE_STORE_HPP
#define TURMERICSWITCH_STORE_STATE_HARD_STATE_STORE_HPP

#include "core/messages/consensus.hpp"
#include "store/files/file_system.hpp"

#include <optional>
#include <string>

namespace turmericswitch::store
{

/// Identity of an instance in its consensus group.
struct instance_identity
{
    std::string group;
    core::member_id member;
    /// Random number drawn when the data folder was created.
    std::uint64_t data_folder_id = 0;

    bool operator==(instance_identity const&) const = default;
};

/// Stores identity, term and vote of one instance. Load it before anything
/// else in the data folder: without the identity file the instance must not
/// vote under its old member id, because a vote may have been lost.
class hard_state_store
{
public:
    /// @param folder Created when missing.
    hard_state_store(file_system& files, std::string folder);

    /// Creates the identity with its first hard state. Only for a new group or
    /// a learner that joins under a new member id.
    ///
    /// @return False when the folder already has an identity (`io_failed`),
    /// or with the reason of a failed file operation.
    bool create(instance_identity const& identity,
                core::hard_state const& state);

    /// @return True when the folder has an identity file, readable or not.
    bool has_identity();

    /// @param member The id from the settings.
    /// @return The identity, or nothing with `identity_lost` when the file or
    /// the hard state is missing, damaged or of another member.
    std::optional<instance_identity> load_identity(core::member_id member);

    /// @return The identity in the folder, whatever its member id, or nothing
    /// with `identity_lost` when the file or the hard state is missing or
    /// damaged.
    std::optional<instance_identity> load_identity();

    /// @return Term and vote, or nothing with `identity_lost`.
    std::optional<core::hard_state> load();

    /// Replaces term and vote durably. After a failure every further call is
    /// refused with `sync_failed` until `reopen` succeeds.
    bool save(core::hard_state const& state);

    /// Reads term and vote back after a failure, writes them to a new file and
    /// accepts changes again. What could not be saved may have reached the
    /// disk or not; either is safe if no message relied on it.
    ///
    /// @return Term and vote, or nothing with the reason why the disk still
    /// can't be used.
    std::optional<core::hard_state> reopen();

private:
    file_system* m_files;
    std::string m_folder;
    bool m_failed = false;
};

} // namespace turmericswitch::store

#endif
