#ifndef TURMERICSWITCH_STORE_LOG_RECORD_CODEC_HPP
#define TURMERICSWITCH_STORE_LOG_RECORD_CODEC_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericswitch::store
{

/// Largest payload of one record in bytes.
constexpr std::uint32_t max_record_bytes = 64U * 1024U * 1024U;

/// One record in the content of a file.
struct record_view
{
    /// Offset in the file at which the batch of this record begins.
    std::uint64_t batch_start = 0;
    std::string_view payload;
    /// Offset of the byte after the record.
    std::uint64_t end = 0;
};

/// Appends a record: magic number, length, batch start, checksum (XXH3) and
/// payload.
void append_record(std::string& out,
                   std::uint64_t batch_start,
                   std::string_view payload);

/// @return The record at `offset`, or nothing when it is truncated or damaged.
std::optional<record_view> read_record(std::string_view file,
                                       std::uint64_t offset);

/// Tells damage to a synced record from a torn write. A batch is only written
/// after the one before it was synced, so a valid record of a later batch
/// proves that the bad record at `offset` had been synced.
///
/// @return True when a valid record follows whose batch begins after `offset`.
bool later_batch_follows(std::string_view file, std::uint64_t offset);

} // namespace turmericswitch::store

#endif
