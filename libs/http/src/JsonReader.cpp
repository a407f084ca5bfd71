#include <http/JsonReader.h>

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <cmath>
#include <type_traits>

namespace auburnrail {

namespace {

/// Deeper nesting is refused, because the parser recurses on it.
constexpr auto MAX_JSON_DEPTH = std::size_t(32);

} // namespace

struct JsonReader::Document
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    std::string source;
    std::string prefix; ///< Path of this object in the text.
    std::shared_ptr<Findings> findings = std::make_shared<Findings>();
};

namespace {

/// Whether the JSON type of `value` is that of `T`. A number with a fraction is no integer, while
/// one that is only written with a decimal point or an exponent is.
template <typename T>
auto hasTypeOf(const Poco::Dynamic::Var &value) -> bool
{
    if constexpr (std::is_same_v<T, std::string>)
        return value.isString();
    if constexpr (std::is_same_v<T, bool>)
        return value.isBoolean();
    if (!value.isNumeric() || value.isBoolean())
        return false;
    if constexpr (std::is_same_v<T, Poco::Int64>) {
        const auto number = value.convert<double>();
        return value.isInteger() || number == std::trunc(number);
    }
    return true;
}

/// Member converted to `T`, or the fallback; a value of another type is a fault.
template <typename T>
auto readMember(JsonReader &reader, const Poco::JSON::Object &object, const std::string &member,
                T fallback) -> T
{
    const auto value = object.get(member);
    if (value.isEmpty())
        return fallback;
    try {
        if (!hasTypeOf<T>(value))
            throw Poco::BadCastException("another type is expected");
        return value.convert<T>();
    } catch (const std::exception &) {
        reader.fault(member, "has the wrong type");
        return fallback;
    }
}

} // namespace

JsonReader::JsonReader(const std::string &text, std::string source)
    : document(std::make_unique<Document>())
{
    this->document->source = std::move(source);
    try {
        auto parser = Poco::JSON::Parser();
        parser.setDepth(MAX_JSON_DEPTH);
        const auto value = parser.parse(text);
        this->document->object = value.extract<Poco::JSON::Object::Ptr>();
    } catch (const std::exception &) {
        this->fault("", "is not a JSON object");
    }
}

JsonReader::JsonReader(std::unique_ptr<Document> newDocument)
    : document(std::move(newDocument))
{
}

JsonReader::JsonReader(JsonReader &&) noexcept = default;
auto JsonReader::operator=(JsonReader &&) noexcept -> JsonReader & = default;
JsonReader::~JsonReader() = default;

auto JsonReader::has(const std::string &member) const -> bool
{
    return this->document->object->has(member);
}

auto JsonReader::text(const std::string &member, std::string fallback) -> std::string
{
    return readMember<std::string>(*this, *this->document->object, member, std::move(fallback));
}

auto JsonReader::requiredText(const std::string &member) -> std::string
{
    auto value = this->text(member);
    if (value.empty())
        this->fault(member, "must be set");
    return value;
}

auto JsonReader::integer(const std::string &member, std::int64_t fallback) -> std::int64_t
{
    return readMember<Poco::Int64>(*this, *this->document->object, member, fallback);
}

auto JsonReader::number(const std::string &member, double fallback) -> double
{
    return readMember<double>(*this, *this->document->object, member, fallback);
}

auto JsonReader::boolean(const std::string &member, bool fallback) -> bool
{
    return readMember<bool>(*this, *this->document->object, member, fallback);
}

auto JsonReader::labels(const std::string &member) -> Labels
{
    auto result = Labels();
    auto reader = this->object(member);
    for (const auto &[name, value] : *reader.document->object)
        result.emplace(name, reader.text(name));
    return result;
}

auto JsonReader::texts(const std::string &member) -> std::vector<std::string>
{
    auto result = std::vector<std::string>();
    const auto array = this->document->object->getArray(member);
    if (array.isNull()) {
        if (this->has(member))
            this->fault(member, "is not an array");
        return result;
    }
    for (const auto &value : *array) {
        if (value.isString())
            result.push_back(value.extract<std::string>());
        else
            this->fault(member, "has an item that is not a string");
    }
    return result;
}

auto JsonReader::objects(const std::string &member) -> std::vector<JsonReader>
{
    auto result = std::vector<JsonReader>();
    const auto array = this->document->object->getArray(member);
    if (array.isNull()) {
        if (this->has(member))
            this->fault(member, "is not an array");
        return result;
    }
    for (auto index = 0U; index < array->size(); ++index) {
        auto item = std::make_unique<Document>(*this->document);
        item->prefix += member + "[" + std::to_string(index) + "].";
        item->object = array->getObject(index);
        if (item->object.isNull()) {
            this->fault(member, "has an item that is not an object");
            continue;
        }
        result.push_back(JsonReader(std::move(item)));
    }
    return result;
}

auto JsonReader::object(const std::string &member) -> JsonReader
{
    auto child = std::make_unique<Document>(*this->document);
    child->prefix += member + ".";
    child->object = this->document->object->getObject(member);
    if (child->object.isNull()) {
        if (this->has(member))
            this->fault(member, "is not an object");
        child->object = new Poco::JSON::Object;
    }
    return JsonReader(std::move(child));
}

auto JsonReader::fault(const std::string &member, std::string message) -> void
{
    this->document->findings->add(
        Place{this->document->source, 0, "", this->document->prefix + member}, std::move(message));
}

auto JsonReader::findings() const -> const Findings &
{
    return *this->document->findings;
}

} // namespace auburnrail
