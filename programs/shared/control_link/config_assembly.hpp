#ifndef TURMERICSWITCH_SHARED_CONTROL_LINK_CONFIG_ASSEMBLY_HPP
#define TURMERICSWITCH_SHARED_CONTROL_LINK_CONFIG_ASSEMBLY_HPP

#include "core/config/configuration.hpp"
#include "core/messages/config_transfer.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace turmericswitch::shared
{

/// Puts a configuration together from the bytes of a transfer. Bytes that have
/// arrived are kept until the transfer is for another content, so that an
/// interrupted one resumes. Has no I/O.
class config_assembly
{
public:
    /// Begins a transfer, or continues it if the content is the same.
    void begin(core::config_transfer transfer);

    core::config_content const& content() const noexcept;

    bool is_complete() const noexcept;

    /// @return Bytes received so far; the next chunk starts here.
    std::uint64_t offset() const noexcept;

    /// Appends the bytes at `offset()`.
    ///
    /// @return False if they exceed the content; the transfer then begins
    ///         again.
    bool append(std::string const& bytes);

    /// Ends a complete transfer.
    ///
    /// @param base The configuration that the process has, for a delta.
    /// @return The new configuration, or nothing with `message_malformed` if
    ///         its checksum is not the announced one.
    std::optional<core::configuration> finish(core::configuration const& base);

private:
    core::config_content m_content;
    std::string m_bytes;
};

} // namespace turmericswitch::shared

#endif
