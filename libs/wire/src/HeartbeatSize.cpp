#include <wire/HeartbeatSize.h>

#include "HeartbeatCodec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace auburnrail {

auto encodedSize(const Heartbeat &heartbeat) -> std::size_t
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    auto protocol = apache::thrift::protocol::TCompactProtocol(buffer);
    detail::toMessage(heartbeat).write(&protocol);
    return buffer->getBufferAsString().size();
}

} // namespace auburnrail
