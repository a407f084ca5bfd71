#include <http/QueryString.h>

#include <Poco/Exception.h>
#include <Poco/URI.h>

namespace auburnrail {

auto QueryString::value(const std::string &name) const -> std::string
{
    const auto found = this->parameters.find(name);
    return found == this->parameters.end() ? "" : found->second;
}

auto parseTarget(const std::string &target) -> QueryString
{
    auto query = QueryString();
    try {
        const auto uri = Poco::URI(target);
        query.path = uri.getPath();
        for (const auto &[name, value] : uri.getQueryParameters())
            query.parameters.insert_or_assign(name, value);
    } catch (const Poco::Exception &) {
        query = QueryString();
    }
    return query;
}

} // namespace auburnrail
