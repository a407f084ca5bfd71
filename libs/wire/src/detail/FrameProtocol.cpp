#include "FrameProtocol.h"

#include "../WireLimits.h"

namespace auburnrail::detail {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

auto protocolOver(const std::shared_ptr<TMemoryBuffer> &buffer) -> std::shared_ptr<TCompactProtocol>
{
    return std::make_shared<TCompactProtocol>(buffer, NO_STRING_LIMIT, MAX_CONTAINER_ITEMS);
}

auto protocolOver(std::string &frame) -> std::shared_ptr<TCompactProtocol>
{
    return protocolOver(std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t *>(frame.data()), static_cast<std::uint32_t>(frame.size())));
}

} // namespace auburnrail::detail
