#include "store/log/record_codec.hpp"

#include <cstring>
#include <xxhash.h>

namespace turmericswitch::store
{

namespace
{

constexpr std::uint32_t record_magic = 0x54535752U;
constexpr std::size_t length_offset = 4;
constexpr std::size_t batch_offset = 8;
constexpr std::size_t checksum_offset = 16;
constexpr std::size_t header_bytes = 24;

// Native byte order, because the files stay on the machine that wrote them.
template <typename T>
void put(std::string& out, T value)
{
    char bytes[sizeof(T)];
    std::memcpy(bytes, &value, sizeof(T));
    out.append(bytes, sizeof(T));
}

template <typename T>
T get(std::string_view bytes, std::size_t offset)
{
    T value{};
    std::memcpy(&value, bytes.data() + offset, sizeof(T));
    return value;
}

std::uint64_t checksum(std::string_view payload, std::uint64_t batch_start)
{
    return XXH3_64bits_withSeed(payload.data(), payload.size(), batch_start);
}

} // namespace

void append_record(std::string& out,
                   std::uint64_t batch_start,
                   std::string_view payload)
{
    put(out, record_magic);
    put(out, static_cast<std::uint32_t>(payload.size()));
    put(out, batch_start);
    put(out, checksum(payload, batch_start));
    out.append(payload);
}

std::optional<record_view> read_record(std::string_view file,
                                       std::uint64_t offset)
{
    if (offset > file.size() || file.size() - offset < header_bytes)
    {
        return std::nullopt;
    }
    auto const rest = file.substr(offset);
    auto const length = get<std::uint32_t>(rest, length_offset);
    if (get<std::uint32_t>(rest, 0) != record_magic ||
        length > max_record_bytes || rest.size() - header_bytes < length)
    {
        return std::nullopt;
    }
    record_view record;
    record.batch_start = get<std::uint64_t>(rest, batch_offset);
    record.payload = rest.substr(header_bytes, length);
    record.end = offset + header_bytes + length;
    if (record.batch_start > offset ||
        checksum(record.payload, record.batch_start) !=
            get<std::uint64_t>(rest, checksum_offset))
    {
        return std::nullopt;
    }
    return record;
}

bool later_batch_follows(std::string_view file, std::uint64_t offset)
{
    char magic[sizeof(record_magic)];
    std::memcpy(magic, &record_magic, sizeof(magic));
    std::string_view const wanted(magic, sizeof(magic));
    for (auto at = file.find(wanted, offset + 1); at != std::string_view::npos;
         at = file.find(wanted, at + 1))
    {
        auto const record = read_record(file, at);
        if (record && record->batch_start > offset)
        {
            return true;
        }
    }
    return false;
}

} // namespace turmericswitch::store
