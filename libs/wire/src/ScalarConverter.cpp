#include "ScalarConverter.h"

namespace auburnrail::detail {

auto memberToWire(const MemberId &member) -> wire::MemberId
{
    auto result = wire::MemberId();
    result.name = member.name;
    result.incarnation = signedValue(member.incarnation);
    return result;
}

auto memberFromWire(const wire::MemberId &member) -> MemberId
{
    return MemberId{member.name, unsignedValue(member.incarnation)};
}

auto configurationToWire(const Configuration &configuration) -> wire::Configuration
{
    auto result = wire::Configuration();
    for (const auto &voter : configuration.voters)
        result.voters.push_back(memberToWire(voter));
    return result;
}

auto configurationFromWire(const wire::Configuration &configuration) -> Configuration
{
    auto result = Configuration();
    for (const auto &voter : configuration.voters)
        result.voters.insert(memberFromWire(voter));
    return result;
}

} // namespace auburnrail::detail
