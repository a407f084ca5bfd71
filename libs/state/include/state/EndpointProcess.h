#ifndef AUBURNRAIL_STATE_ENDPOINTPROCESS_H
#define AUBURNRAIL_STATE_ENDPOINTPROCESS_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// One process of an endpoint, which may start again under its name.
struct EndpointProcess
{
    std::string endpoint;
    std::uint64_t startedAt = 0; ///< See Endpoint::startedAt.

    auto operator==(const EndpointProcess &) const -> bool = default;
};

} // namespace auburnrail

#endif
