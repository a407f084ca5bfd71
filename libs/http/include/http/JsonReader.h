#ifndef AUBURNRAIL_HTTP_JSONREADER_H
#define AUBURNRAIL_HTTP_JSONREADER_H

#include <core/EnumTable.h>
#include <core/Findings.h>
#include <core/Labels.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// Reads the members of one JSON object and collects every fault, each with the member's name.
/// Absent optional members give the fallback.
class JsonReader
{
public:
    /// `source` names the text in findings. Text that is not a JSON object is a finding.
    JsonReader(const std::string &text, std::string source);
    JsonReader(JsonReader &&) noexcept;
    auto operator=(JsonReader &&) noexcept -> JsonReader &;
    JsonReader(const JsonReader &) = delete;
    auto operator=(const JsonReader &) -> JsonReader & = delete;
    ~JsonReader();

    [[nodiscard]] auto has(const std::string &member) const -> bool;
    [[nodiscard]] auto text(const std::string &member, std::string fallback = "") -> std::string;
    [[nodiscard]] auto requiredText(const std::string &member) -> std::string;
    [[nodiscard]] auto integer(const std::string &member, std::int64_t fallback = 0)
        -> std::int64_t;
    [[nodiscard]] auto number(const std::string &member, double fallback = 0) -> double;
    [[nodiscard]] auto boolean(const std::string &member, bool fallback = false) -> bool;
    [[nodiscard]] auto labels(const std::string &member) -> Labels;
    [[nodiscard]] auto texts(const std::string &member) -> std::vector<std::string>;

    /// A reader for each object of an array member.
    [[nodiscard]] auto objects(const std::string &member) -> std::vector<JsonReader>;

    /// A reader for an object member; empty object when it is absent.
    [[nodiscard]] auto object(const std::string &member) -> JsonReader;

    /// Records a fault of `member`.
    auto fault(const std::string &member, std::string message) -> void;

    [[nodiscard]] auto findings() const -> const Findings &;

private:
    struct Document;

    explicit JsonReader(std::unique_ptr<Document> document);

    std::unique_ptr<Document> document;
};

/// Value of the enumeration named by `member`; a name that is not in its table is a fault.
template <typename E>
[[nodiscard]] auto readEnum(JsonReader &reader, const std::string &member, E fallback) -> E
{
    const auto name = reader.text(member);
    if (name.empty())
        return fallback;
    const auto value = parseName<E>(name);
    if (!value)
        reader.fault(member, "unknown value '" + name + "'");
    return value.value_or(fallback);
}

} // namespace auburnrail

#endif
