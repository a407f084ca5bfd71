#include <http/JsonWriter.h>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

namespace auburnrail {

namespace {

constexpr auto INDENT_COLUMNS = 2U;

} // namespace

struct JsonWriter::Document
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
};

JsonWriter::JsonWriter()
    : document(std::make_unique<Document>())
{
}

JsonWriter::JsonWriter(JsonWriter &&) noexcept = default;
auto JsonWriter::operator=(JsonWriter &&) noexcept -> JsonWriter & = default;
JsonWriter::~JsonWriter() = default;

auto JsonWriter::text(const std::string &member, std::string_view value) -> JsonWriter &
{
    this->document->object->set(member, std::string(value));
    return *this;
}

auto JsonWriter::integer(const std::string &member, std::int64_t value) -> JsonWriter &
{
    this->document->object->set(member, static_cast<Poco::Int64>(value));
    return *this;
}

auto JsonWriter::number(const std::string &member, double value) -> JsonWriter &
{
    this->document->object->set(member, value);
    return *this;
}

auto JsonWriter::boolean(const std::string &member, bool value) -> JsonWriter &
{
    this->document->object->set(member, value);
    return *this;
}

auto JsonWriter::labels(const std::string &member, const Labels &value) -> JsonWriter &
{
    auto child = JsonWriter();
    for (const auto &[name, text] : value)
        child.text(name, text);
    return this->object(member, child);
}

auto JsonWriter::texts(const std::string &member, const std::vector<std::string> &value)
    -> JsonWriter &
{
    auto array = Poco::JSON::Array::Ptr(new Poco::JSON::Array);
    for (const auto &item : value)
        array->add(item);
    this->document->object->set(member, array);
    return *this;
}

auto JsonWriter::object(const std::string &member, const JsonWriter &value) -> JsonWriter &
{
    this->document->object->set(member, value.document->object);
    return *this;
}

auto JsonWriter::objects(const std::string &member, const std::vector<JsonWriter> &value)
    -> JsonWriter &
{
    auto array = Poco::JSON::Array::Ptr(new Poco::JSON::Array);
    for (const auto &item : value)
        array->add(item.document->object);
    this->document->object->set(member, array);
    return *this;
}

auto JsonWriter::toString() const -> std::string
{
    auto stream = std::ostringstream();
    this->document->object->stringify(stream);
    return stream.str();
}

auto JsonWriter::toIndentedString() const -> std::string
{
    auto stream = std::ostringstream();
    this->document->object->stringify(stream, INDENT_COLUMNS);
    return stream.str();
}

} // namespace auburnrail
