#include <settings/SettingsFile.h>

#include "IniLineIndex.h"

#include <core/Name.h>

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Util/IniFileConfiguration.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cassert>
#include <fstream>
#include <optional>
#include <sstream>

namespace auburnrail {

namespace {

auto findSpec(SettingsTable table, std::string_view section, std::string_view key)
    -> const SettingSpec *
{
    const auto found = std::find_if(table.begin(), table.end(), [&](const SettingSpec &spec) {
        return spec.section == section && spec.key == key;
    });
    return found == table.end() ? nullptr : &*found;
}

auto parseInteger(const std::string &value) -> std::optional<std::int64_t>
{
    auto number = std::int64_t(0);
    if (!absl::SimpleAtoi(value, &number))
        return std::nullopt;
    return number;
}

auto isAddress(const std::string &value) -> bool
{
    try {
        return Poco::Net::SocketAddress(value).port() != 0;
    } catch (const Poco::Exception &) {
        return false;
    }
}

/// Message about a value that does not fit its row, or empty.
auto checkValue(const SettingSpec &spec, const std::string &value) -> std::string
{
    if (value.empty())
        return spec.required ? "must not be empty" : "";
    switch (spec.kind) {
    case SettingKind::Integer: {
        const auto number = parseInteger(value);
        if (!number)
            return "'" + value + "' is not a whole number";
        if (*number < spec.minimum || *number > spec.maximum) {
            return value + " is outside " + std::to_string(spec.minimum) + " to "
                   + std::to_string(spec.maximum) + " " + std::string(spec.unit);
        }
        return "";
    }
    case SettingKind::Boolean:
        return value == "true" || value == "false" ? "" : "'" + value + "' is not true or false";
    case SettingKind::Name:
        return isName(value) ? "" : "'" + value + "' is not a name";
    case SettingKind::Address:
        return isAddress(value) ? "" : "'" + value + "' is not IP:port";
    case SettingKind::Text:
    case SettingKind::List:
        return "";
    }
    return "";
}

/// Value of a key as the INI loader reads it. Its names are case-insensitive and joined by dots.
auto readValue(const Poco::Util::IniFileConfiguration &ini, const std::string &section,
               const std::string &key) -> std::string
{
    return ini.getRawString(section.empty() ? key : section + "." + key, "");
}

} // namespace

auto SettingsFile::parse(std::string_view text, std::string source, SettingsTable table,
                         Findings &findings) -> SettingsFile
{
    auto file = SettingsFile();
    file.source = std::move(source);
    file.table = table;
    file.lines = detail::indexIniLines(text, file.source, findings);

    auto stream = std::istringstream(std::string(text));
    auto ini = Poco::AutoPtr<Poco::Util::IniFileConfiguration>();
    try {
        ini = new Poco::Util::IniFileConfiguration(stream);
    } catch (const Poco::Exception &error) {
        findings.add(Place{file.source, 0, "", ""}, error.displayText());
        return file;
    }
    for (const auto &[name, line] : file.lines) {
        const auto *spec = findSpec(table, name.first, name.second);
        const auto place = Place{file.source, line, name.first, name.second};
        if (spec == nullptr) {
            findings.add(place, "unknown setting");
            continue;
        }
        auto value = readValue(*ini, name.first, name.second);
        if (auto fault = checkValue(*spec, value); !fault.empty())
            findings.add(place, std::move(fault));
        else
            file.values.emplace(name, std::move(value));
    }
    for (const auto &spec : table) {
        const auto name = Name(spec.section, spec.key);
        if (spec.required && !file.lines.contains(name))
            findings.add(Place{file.source, 0, name.first, name.second}, "must be set");
    }
    return file;
}

auto SettingsFile::load(const std::string &path, SettingsTable table, Findings &findings)
    -> SettingsFile
{
    auto stream = std::ifstream(path);
    auto text = std::ostringstream();
    text << stream.rdbuf();
    if (!stream) {
        findings.add(Place{path, 0, "", ""}, "can't be read or is empty");
        return parse("", path, SettingsTable(), findings);
    }
    return parse(text.str(), path, table, findings);
}

auto SettingsFile::text(std::string_view section, std::string_view key) const -> std::string
{
    const auto found = this->values.find(Name(section, key));
    if (found != this->values.end())
        return found->second;
    const auto *spec = findSpec(this->table, section, key);
    return spec == nullptr ? "" : std::string(spec->defaultValue);
}

auto SettingsFile::integer(std::string_view section, std::string_view key) const -> std::int64_t
{
    return parseInteger(this->text(section, key)).value_or(0);
}

auto SettingsFile::boolean(std::string_view section, std::string_view key) const -> bool
{
    return this->text(section, key) == "true";
}

auto SettingsFile::list(std::string_view section, std::string_view key) const
    -> std::vector<std::string>
{
    auto items = std::vector<std::string>();
    for (const auto item : absl::StrSplit(this->text(section, key), ',', absl::SkipWhitespace()))
        items.emplace_back(absl::StripAsciiWhitespace(item));
    return items;
}

auto SettingsFile::millis(std::string_view section, std::string_view key) const -> Duration
{
    assert((findSpec(this->table, section, key) == nullptr
            || findSpec(this->table, section, key)->unit == "ms")
           && "the setting's unit must be ms");
    return std::chrono::milliseconds(this->integer(section, key));
}

auto SettingsFile::place(std::string_view section, std::string_view key) const -> Place
{
    const auto found = this->lines.find(Name(section, key));
    const auto line = found == this->lines.end() ? 0 : found->second;
    return Place{this->source, line, std::string(section), std::string(key)};
}

} // namespace auburnrail
