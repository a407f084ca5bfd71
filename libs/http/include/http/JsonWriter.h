#ifndef AUBURNRAIL_HTTP_JSONWRITER_H
#define AUBURNRAIL_HTTP_JSONWRITER_H

#include <core/Labels.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburnrail {

/// Builds one JSON object. Members come out in the order they were set.
class JsonWriter
{
public:
    JsonWriter();
    JsonWriter(JsonWriter &&) noexcept;
    auto operator=(JsonWriter &&) noexcept -> JsonWriter &;
    JsonWriter(const JsonWriter &) = delete;
    auto operator=(const JsonWriter &) -> JsonWriter & = delete;
    ~JsonWriter();

    auto text(const std::string &member, std::string_view value) -> JsonWriter &;
    auto integer(const std::string &member, std::int64_t value) -> JsonWriter &;
    auto number(const std::string &member, double value) -> JsonWriter &;
    auto boolean(const std::string &member, bool value) -> JsonWriter &;
    auto labels(const std::string &member, const Labels &value) -> JsonWriter &;
    auto texts(const std::string &member, const std::vector<std::string> &value) -> JsonWriter &;
    auto object(const std::string &member, const JsonWriter &value) -> JsonWriter &;
    auto objects(const std::string &member, const std::vector<JsonWriter> &value) -> JsonWriter &;

    /// The object on one line.
    [[nodiscard]] auto toString() const -> std::string;

    /// The object with one member a line, for people.
    [[nodiscard]] auto toIndentedString() const -> std::string;

private:
    struct Document;

    std::unique_ptr<Document> document;
};

} // namespace auburnrail

#endif
