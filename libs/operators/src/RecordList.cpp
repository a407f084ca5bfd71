#include "RecordList.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace auburnrail::detail {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

auto objectOf(const Poco::Dynamic::Var &value) -> Object::Ptr
{
    return value.type() == typeid(Object::Ptr) ? value.extract<Object::Ptr>() : nullptr;
}

auto integerOf(const Poco::Dynamic::Var &value, const std::string &member) -> std::int64_t
{
    const auto object = objectOf(value);
    return object.isNull() ? 0 : object->optValue<Poco::Int64>(member, 0);
}

/// `text` on one line, with the control characters of ASCII and backslashes escaped as in C.
auto printable(const std::string &text) -> std::string
{
    auto result = std::string();
    for (const auto character : text) {
        const auto escaped =
            absl::ascii_iscntrl(static_cast<unsigned char>(character)) || character == '\\';
        result += escaped ? absl::CHexEscape(std::string(1, character)) : std::string(1, character);
    }
    return result;
}

auto appendText(const Object &object, const std::string &indent, std::string &text) -> void
{
    auto fields = std::vector<std::string>();
    auto nested = std::string();
    for (const auto &[name, value] : object) {
        if (value.type() == typeid(Object::Ptr)) {
            absl::StrAppend(&nested, indent, "  ", name, ":\n");
            appendText(*value.extract<Object::Ptr>(), indent + "    ", nested);
        } else if (value.type() == typeid(Array::Ptr)) {
            for (const auto &item : *value.extract<Array::Ptr>()) {
                if (const auto inner = objectOf(item); !inner.isNull())
                    appendText(*inner, indent + "  ", nested);
                else
                    absl::StrAppend(&nested, indent, "  ", printable(item.convert<std::string>()),
                                    "\n");
            }
        } else {
            const auto shown = printable(value.convert<std::string>());
            if (!shown.empty())
                fields.push_back(absl::StrCat(name, "=", shown));
        }
    }
    absl::StrAppend(&text, indent, absl::StrJoin(fields, "  "), "\n", nested);
}

} // namespace

RecordList::RecordList(std::string member)
    : member(std::move(member))
{
}

auto RecordList::add(const std::string &body) -> void
{
    try {
        const auto object = objectOf(Poco::JSON::Parser().parse(body));
        const auto array = object.isNull() ? nullptr : object->getArray(this->member);
        if (!array.isNull())
            this->records.insert(this->records.end(), array->begin(), array->end());
    } catch (const Poco::Exception &) {
        // An instance that answers in another form has no records to show.
    }
}

auto RecordList::addUnanswered(std::string instance) -> void
{
    this->unanswered.push_back(std::move(instance));
}

auto RecordList::sortDescending(const std::string &integerMember) -> void
{
    std::stable_sort(this->records.begin(), this->records.end(),
                     [&](const auto &left, const auto &right) {
                         return integerOf(left, integerMember) > integerOf(right, integerMember);
                     });
}

auto RecordList::empty() const -> bool
{
    return this->records.empty();
}

auto RecordList::isComplete() const -> bool
{
    return this->unanswered.empty();
}

auto RecordList::toJson() const -> std::string
{
    auto array = Array();
    for (const auto &record : this->records)
        array.add(record);
    auto object = Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set(this->member, array);
    if (!this->unanswered.empty()) {
        auto names = Array();
        for (const auto &name : this->unanswered)
            names.add(name);
        object.set("unanswered", names);
    }
    auto stream = std::ostringstream();
    object.stringify(stream);
    return stream.str();
}

auto RecordList::toText() const -> std::string
{
    auto text = std::string();
    for (const auto &record : this->records) {
        if (const auto object = objectOf(record); !object.isNull())
            appendText(*object, "", text);
    }
    return text.empty() ? absl::StrCat("no ", this->member, "\n") : text;
}

} // namespace auburnrail::detail
