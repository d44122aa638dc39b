#include "store/state/hard_state_store.hpp"

#include "core/results/last_reason.hpp"
#include "store/state/checksummed_file.hpp"
#include "wire/codec/message_codec.hpp"

#include <sstream>

namespace turmericswitch::store
{

namespace
{

using core::result_code;

constexpr char const* identity_name = "identity";
constexpr char const* hard_state_name = "hard_state";

std::string to_text(instance_identity const& identity)
{
    return std::to_string(identity.member.value()) + " " +
           std::to_string(identity.data_folder_id) + " " + identity.group;
}

std::optional<instance_identity> identity_from(std::string const& text)
{
    std::istringstream in(text);
    std::uint64_t member = 0;
    instance_identity identity;
    if (!(in >> member >> identity.data_folder_id) || in.get() != ' ')
    {
        return std::nullopt;
    }
    std::getline(in, identity.group, '\0');
    identity.member = core::member_id(member);
    return identity;
}

} // namespace

hard_state_store::hard_state_store(file_system& files, std::string folder)
    : m_files(&files), m_folder(std::move(folder))
{
    m_failed = !m_files->make_folder(m_folder);
}

bool hard_state_store::create(instance_identity const& identity,
                              core::hard_state const& state)
{
    if (has_identity())
    {
        return core::fail_bool(result_code::io_failed,
                               m_folder + " already has an identity");
    }
    // Written last, so that an identity file implies a complete hard state.
    return save(state) &&
           replace_checksummed_file(
               *m_files, m_folder, identity_name, to_text(identity));
}

bool hard_state_store::has_identity()
{
    return has_file(*m_files, m_folder, identity_name);
}

std::optional<instance_identity>
hard_state_store::load_identity(core::member_id member)
{
    auto const text = read_checksummed_file(*m_files, m_folder, identity_name);
    auto identity = text ? identity_from(*text) : std::nullopt;
    if (!identity || identity->member != member || !load())
    {
        return core::fail(result_code::identity_lost,
                          m_folder + " has no complete identity of member " +
                              std::to_string(member.value()));
    }
    return identity;
}

std::optional<instance_identity> hard_state_store::load_identity()
{
    auto const text = read_checksummed_file(*m_files, m_folder, identity_name);
    auto identity = text ? identity_from(*text) : std::nullopt;
    if (!identity || !load())
    {
        return core::fail(result_code::identity_lost,
                          m_folder + " has no complete identity");
    }
    return identity;
}

std::optional<core::hard_state> hard_state_store::load()
{
    auto const bytes =
        read_checksummed_file(*m_files, m_folder, hard_state_name);
    auto const state =
        bytes ? wire::decode<core::hard_state>(*bytes) : std::nullopt;
    if (!state)
    {
        return core::fail(result_code::identity_lost,
                          m_folder + " has no readable hard state");
    }
    return state;
}

bool hard_state_store::save(core::hard_state const& state)
{
    if (m_failed)
    {
        return core::fail_bool(result_code::sync_failed,
                               "an earlier write to " + m_folder + " failed");
    }
    m_failed = !replace_checksummed_file(
        *m_files, m_folder, hard_state_name, wire::encode(state));
    return !m_failed;
}

std::optional<core::hard_state> hard_state_store::reopen()
{
    auto const state = load();
    if (!state)
    {
        return std::nullopt;
    }
    m_failed = false;
    return save(*state) ? state : std::nullopt;
}

} // namespace turmericswitch::store
