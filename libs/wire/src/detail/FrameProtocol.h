#ifndef AUBURNRAIL_WIRE_DETAIL_FRAMEPROTOCOL_H
#define AUBURNRAIL_WIRE_DETAIL_FRAMEPROTOCOL_H

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>

namespace auburnrail::detail {

/// Compact protocol over a buffer, with the limits of WireLimits.h.
[[nodiscard]] auto
protocolOver(const std::shared_ptr<apache::thrift::transport::TMemoryBuffer> &buffer)
    -> std::shared_ptr<apache::thrift::protocol::TCompactProtocol>;

/// Reads the message in `frame`, which must outlive the protocol.
[[nodiscard]] auto protocolOver(std::string &frame)
    -> std::shared_ptr<apache::thrift::protocol::TCompactProtocol>;

} // namespace auburnrail::detail

#endif
