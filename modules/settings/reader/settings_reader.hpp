#ifndef TURMERICSWITCH_SETTINGS_READER_SETTINGS_READER_HPP
#define TURMERICSWITCH_SETTINGS_READER_SETTINGS_READER_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"
#include "settings/reader/settings_file.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::settings
{

/// Section and key of one setting.
struct setting_name
{
    std::string section;
    std::string key;

    auto operator<=>(setting_name const&) const = default;
};

/// Smallest and largest allowed value.
template <typename T>
struct value_range
{
    T lowest;
    T highest;
};

constexpr core::duration max_duration = std::chrono::hours(24 * 366);

/// Reads typed settings and collects all errors of a file.
///
/// A program's parse function calls a getter for every setting it knows, then
/// finish(). A getter that finds an error returns a default-constructed value,
/// so the function can go on and finish() reports all errors at once. Without
/// `default_value` a setting is required.
class settings_reader
{
public:
    /// @return Nothing if the file can't be read; last_reason() then has
    /// `io_failed`.
    static std::optional<settings_reader> load(std::string const& path);

    /// @param file Name shown in errors.
    settings_reader(std::string file, std::string const& text);

    /// @return The name of the file as given.
    std::string const& name() const noexcept;

    /// Makes the setting known to finish(), also if the file lacks it.
    ///
    /// @return True if the file has the setting.
    bool has(setting_name const& name);

    /// A non-empty text.
    std::string text(setting_name const& name,
                     std::optional<std::string> const& default_value = {});

    std::int64_t integer(setting_name const& name,
                         value_range<std::int64_t> range,
                         std::optional<std::int64_t> default_value = {});

    /// A value with the unit ms, s, min or h.
    core::duration duration(setting_name const& name,
                            std::optional<core::duration> default_value = {},
                            value_range<core::duration> range = {
                                core::duration(0), max_duration});

    /// A value with the unit B, KiB, MiB, GiB or TiB.
    core::byte_count bytes(setting_name const& name,
                           std::optional<core::byte_count> default_value = {});

    /// Numeric address and port.
    core::endpoint
    endpoint(setting_name const& name,
             std::optional<core::endpoint> const& default_value = {});

    /// Endpoints separated by commas, at least one.
    std::vector<core::endpoint> endpoints(
        setting_name const& name,
        std::optional<std::vector<core::endpoint>> const& default_value = {});

    /// One of `words`.
    std::string one_of(setting_name const& name,
                       std::vector<std::string> const& words,
                       std::optional<std::string> const& default_value = {});

    /// `yes` or `no`.
    bool flag(setting_name const& name, std::optional<bool> default_value = {});

    /// Adds an error that the parse function found, for example two settings
    /// that contradict each other.
    void report_bad_value(setting_name const& name,
                          std::string const& expected);

    /// Adds an error for each section and key that the parse function has not
    /// asked for.
    ///
    /// @return True if there are no errors; else last_reason() has the first.
    bool finish();

    /// @return All errors, ordered by line after finish().
    std::vector<settings_error> const& errors() const;

    /// @return `file:line:column: code name: text`.
    std::string to_string(settings_error const& error) const;

private:
    template <typename T>
    using parser = std::function<std::optional<T>(std::string const&)>;

    template <typename T>
    T get(setting_name const& name,
          std::string const& expected,
          std::optional<T> const& default_value,
          parser<T> const& parse);

    settings_entry const* find(setting_name const& name) const;
    int line_of(std::string const& section) const;
    void report_unknown(settings_section const& section);
    void report_unknown(settings_entry const& entry);

    std::string m_name;
    settings_file m_file;
    std::set<setting_name> m_known;
};

} // namespace turmericswitch::settings

#endif
