#ifndef AUBURNRAIL_WIRE_TRANSPORTMESSAGES_H
#define AUBURNRAIL_WIRE_TRANSPORTMESSAGES_H

namespace auburnrail {

/// Sends what the Thrift library says of its connections to the log; by default it writes plain
/// text to standard error. Call once, before the first connection.
auto logTransportMessages() -> void;

} // namespace auburnrail

#endif
