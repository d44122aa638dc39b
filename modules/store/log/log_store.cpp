#include "store/log/log_store.hpp"

#include "core/results/last_reason.hpp"
#include "store/log/record_codec.hpp"
#include "wire/codec/message_codec.hpp"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace turmericswitch::store
{

namespace
{

using core::log_index;
using core::result_code;

constexpr std::size_t name_digits = 20;
constexpr std::string_view segment_suffix = ".log";

std::string segment_name(std::uint64_t first)
{
    auto const digits = std::to_string(first);
    return std::string(name_digits - digits.size(), '0') + digits +
           std::string(segment_suffix);
}

std::optional<std::uint64_t> parse_segment_name(std::string const& name)
{
    std::uint64_t first = 0;
    auto const* const begin = name.data();
    auto const [end, error] =
        std::from_chars(begin, begin + name.size(), first);
    if (error != std::errc{} || name != segment_name(first))
    {
        return std::nullopt;
    }
    return first;
}

} // namespace

log_store::log_store(file_system& files,
                     std::string folder,
                     log_options options)
    : m_files(&files), m_folder(std::move(folder)), m_options(options)
{
}

std::optional<log_store> log_store::open(file_system& files,
                                         std::string folder,
                                         log_base base,
                                         log_options options)
{
    log_store log(files, std::move(folder), options);
    if (!files.make_folder(log.m_folder) || !log.recover(base))
    {
        return std::nullopt;
    }
    return log;
}

bool log_store::reopen(log_base base)
{
    if (!truncate_unsynced())
    {
        return mark_failed();
    }
    m_active = nullptr;
    m_segments.clear();
    m_recovered.clear();
    m_failed = false;
    if (!recover(base))
    {
        return mark_failed();
    }
    for (auto& each : m_segments)
    {
        each.is_sealed = true;
    }
    return true;
}

/// Only the last segment may have bytes that were not synced. A removal of it
/// may have been carried out although it was reported as failed.
bool log_store::truncate_unsynced()
{
    auto const names = m_files->list(m_folder);
    if (!names)
    {
        return false;
    }
    if (!m_segments.empty())
    {
        auto const& last = m_segments.back();
        bool const exists = std::binary_search(
            names->begin(), names->end(), segment_name(last.first_index));
        if (exists &&
            !m_files->truncate(segment_path(last.first_index), last.size))
        {
            return false;
        }
    }
    return m_files->sync_folder(m_folder);
}

std::vector<core::log_entry> log_store::take_recovered()
{
    return std::exchange(m_recovered, {});
}

bool log_store::recover(log_base base)
{
    auto names = m_files->list(m_folder);
    if (!names)
    {
        return false;
    }
    std::erase_if(*names,
                  [](auto const& name) { return !parse_segment_name(name); });
    for (auto const& name : *names)
    {
        if (!recover_segment(name, name == names->back()))
        {
            return false;
        }
    }
    return reconcile_with_snapshot(base);
}

bool log_store::recover_segment(std::string const& name, bool is_last)
{
    auto const content = m_files->read(m_folder + "/" + name);
    if (!content)
    {
        return false;
    }
    segment current;
    current.first_index = *parse_segment_name(name);
    if (!m_segments.empty() && current.first_index != m_last.value() + 1)
    {
        return core::fail_bool(result_code::log_damaged,
                               "entries before " + name + " are missing");
    }
    auto expected = current.first_index;
    while (auto const record = read_record(*content, current.size))
    {
        auto entry = wire::decode<core::log_entry>(record->payload);
        if (!entry || entry->index.value() != expected)
        {
            return core::fail_bool(result_code::log_damaged,
                                   name + " holds a record out of order");
        }
        current.offsets.push_back(current.size);
        current.size = record->end;
        m_recovered.push_back(std::move(*entry));
        ++expected;
    }
    if (current.size != content->size() &&
        !truncate_torn_tail(*content, is_last, current))
    {
        return false;
    }
    m_last = log_index(expected - 1);
    m_segments.push_back(std::move(current));
    return true;
}

bool log_store::truncate_torn_tail(std::string const& content,
                                   bool is_last,
                                   segment& current)
{
    if (!is_last || later_batch_follows(content, current.size))
    {
        return core::fail_bool(result_code::log_damaged,
                               segment_path(current.first_index) +
                                   " is damaged at byte " +
                                   std::to_string(current.size));
    }
    return m_files->truncate(segment_path(current.first_index), current.size);
}

bool log_store::reconcile_with_snapshot(log_base base)
{
    if (!m_segments.empty() && m_segments.back().offsets.empty() &&
        !remove_segment(m_segments.size() - 1))
    {
        return false;
    }
    if (m_segments.empty())
    {
        m_last = base.index;
        return true;
    }
    auto const first = m_segments.front().first_index;
    if (first > base.index.value() + 1)
    {
        return core::fail_bool(result_code::snapshot_log_mismatch,
                               "the log starts at " + std::to_string(first) +
                                   " but the snapshot ends at " +
                                   std::to_string(base.index.value()));
    }
    if (base.index.value() < first)
    {
        return true;
    }
    bool const ends_before = m_last < base.index;
    if (ends_before ||
        m_recovered[base.index.value() - first].entry_term != base.base_term)
    {
        m_recovered.clear();
        return reset(base.index);
    }
    return true;
}

bool log_store::append(std::vector<core::log_entry> const& entries)
{
    if (!check_writable() || entries.empty())
    {
        return !m_failed;
    }
    assert(entries.front().index.value() == m_last.value() + 1);
    bool const is_new_segment =
        m_segments.empty() || m_segments.back().is_sealed ||
        m_segments.back().size >= m_options.segment_bytes;
    if (is_new_segment)
    {
        m_segments.emplace_back();
        m_segments.back().first_index = entries.front().index.value();
        m_active = nullptr;
    }
    auto& current = m_segments.back();
    std::string bytes;
    std::vector<std::uint64_t> offsets;
    for (auto const& entry : entries)
    {
        offsets.push_back(current.size + bytes.size());
        append_record(bytes, current.size, wire::encode(entry));
    }
    if (!open_active_file(current.first_index) || !write_batch(bytes))
    {
        return m_failed ? false : roll_back_batch(is_new_segment);
    }
    if (is_new_segment && !m_files->sync_folder(m_folder))
    {
        return mark_failed();
    }
    current.offsets.insert(
        current.offsets.end(), offsets.begin(), offsets.end());
    current.size += bytes.size();
    m_last = entries.back().index;
    return true;
}

bool log_store::open_active_file(std::uint64_t first)
{
    if (!m_active)
    {
        m_active = m_files->open(segment_path(first));
    }
    return m_active != nullptr;
}

bool log_store::write_batch(std::string const& bytes)
{
    if (!m_active->append(bytes))
    {
        return false;
    }
    return m_active->sync() || mark_failed();
}

/// Removes the partial data of a failed append and keeps the reason of the
/// failure as last reason.
bool log_store::roll_back_batch(bool is_new_segment)
{
    auto reason = core::last_reason();
    auto const path = segment_path(m_segments.back().first_index);
    bool const opened = m_active != nullptr;
    m_active = nullptr;
    bool rolled_back = true;
    if (is_new_segment)
    {
        // If it stayed and the suffix before it was truncated later, the log
        // would have a gap.
        rolled_back = !opened || remove_segment(m_segments.size() - 1);
    }
    else if (opened)
    {
        rolled_back = m_files->truncate(path, m_segments.back().size);
    }
    if (is_new_segment && rolled_back && !opened)
    {
        m_segments.pop_back();
    }
    m_failed = !rolled_back;
    return core::fail_bool(reason.code, reason.text);
}

bool log_store::truncate_suffix(log_index from)
{
    if (!check_writable())
    {
        return false;
    }
    if (from > m_last)
    {
        return true;
    }
    m_active = nullptr;
    while (!m_segments.empty() && m_segments.back().first_index >= from.value())
    {
        if (!remove_segment(m_segments.size() - 1))
        {
            return mark_failed();
        }
    }
    m_last = log_index(from.value() - 1);
    if (m_segments.empty())
    {
        return true;
    }
    auto& current = m_segments.back();
    auto const keep = from.value() - current.first_index;
    if (keep < current.offsets.size())
    {
        current.size = current.offsets[keep];
        current.offsets.resize(keep);
        return m_files->truncate(segment_path(current.first_index),
                                 current.size) ||
               mark_failed();
    }
    return true;
}

bool log_store::compact_prefix(log_index index)
{
    if (!check_writable())
    {
        return false;
    }
    while (m_segments.size() > 1 &&
           m_segments[1].first_index <= index.value() + 1)
    {
        if (!remove_segment(0))
        {
            return mark_failed();
        }
    }
    return true;
}

bool log_store::reset(log_index base)
{
    if (!check_writable())
    {
        return false;
    }
    m_active = nullptr;
    // Starts at the end, so that a crash leaves a prefix without a gap.
    while (!m_segments.empty())
    {
        if (!remove_segment(m_segments.size() - 1))
        {
            return mark_failed();
        }
    }
    m_last = base;
    return true;
}

bool log_store::remove_segment(std::size_t position)
{
    auto const at = m_segments.begin() + static_cast<std::ptrdiff_t>(position);
    if (!m_files->remove(segment_path(at->first_index)) ||
        !m_files->sync_folder(m_folder))
    {
        return false;
    }
    m_segments.erase(at);
    return true;
}

bool log_store::check_writable() const
{
    return !m_failed ||
           core::fail_bool(result_code::sync_failed,
                           "an earlier write to " + m_folder + " failed");
}

bool log_store::mark_failed()
{
    m_failed = true;
    return false;
}

std::string log_store::segment_path(std::uint64_t first) const
{
    return m_folder + "/" + segment_name(first);
}

} // namespace turmericswitch::store
