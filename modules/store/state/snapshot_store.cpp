#include "store/state/snapshot_store.hpp"

#include "core/results/last_reason.hpp"
#include "store/state/checksummed_file.hpp"
#include "wire/codec/message_codec.hpp"

#include <charconv>

namespace turmericswitch::store
{

namespace
{

using core::result_code;

constexpr std::size_t kept_snapshots = 2;
constexpr std::size_t number_digits = 20;
constexpr std::string_view suffix = ".snapshot";

std::string padded(std::uint64_t number)
{
    auto const digits = std::to_string(number);
    return std::string(number_digits - digits.size(), '0') + digits;
}

std::string name_of(core::snapshot_metadata const& metadata)
{
    return padded(metadata.last_index.value()) + std::string(suffix);
}

std::uint64_t number_from(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

snapshot_store::snapshot_store(file_system& files, std::string folder)
    : m_files(&files), m_folder(std::move(folder))
{
    m_files->make_folder(m_folder);
}

bool snapshot_store::save(stored_snapshot const& snapshot)
{
    auto const metadata = wire::encode(snapshot.metadata);
    auto const payload = padded(metadata.size()) + metadata + snapshot.data;
    return replace_checksummed_file(
               *m_files, m_folder, name_of(snapshot.metadata), payload) &&
           remove_old();
}

bool snapshot_store::sync()
{
    return m_files->sync_folder(m_folder);
}

std::optional<stored_snapshot> snapshot_store::load_newest()
{
    auto const found = names();
    if (!found)
    {
        return std::nullopt;
    }
    for (auto name = found->rbegin(); name != found->rend(); ++name)
    {
        if (auto snapshot = load(*name))
        {
            return snapshot;
        }
    }
    if (found->empty())
    {
        return stored_snapshot{};
    }
    return core::fail(result_code::snapshot_damaged,
                      "no snapshot in " + m_folder + " is readable");
}

std::optional<stored_snapshot> snapshot_store::load(std::string const& name)
{
    auto const payload = read_checksummed_file(*m_files, m_folder, name);
    if (!payload || payload->size() < number_digits)
    {
        return std::nullopt;
    }
    auto const length = number_from(payload->substr(0, number_digits));
    if (length > payload->size() - number_digits)
    {
        return std::nullopt;
    }
    auto metadata = wire::decode<core::snapshot_metadata>(
        std::string_view(*payload).substr(number_digits, length));
    if (!metadata)
    {
        return std::nullopt;
    }
    return stored_snapshot{std::move(*metadata),
                           payload->substr(number_digits + length)};
}

core::log_index snapshot_store::oldest_index()
{
    auto const found = names();
    return core::log_index(found && found->size() >= kept_snapshots
                               ? number_from(found->front())
                               : 0);
}

std::optional<std::vector<std::string>> snapshot_store::names()
{
    auto found = m_files->list(m_folder);
    if (found)
    {
        std::erase_if(*found,
                      [](auto const& name) { return !name.ends_with(suffix); });
    }
    return found;
}

bool snapshot_store::remove_old()
{
    auto const found = names();
    if (!found || found->size() <= kept_snapshots)
    {
        return found.has_value();
    }
    for (std::size_t i = 0; i + kept_snapshots < found->size(); ++i)
    {
        if (!m_files->remove(m_folder + "/" + (*found)[i]))
        {
            return false;
        }
    }
    return m_files->sync_folder(m_folder);
}

} // namespace turmericswitch::store
