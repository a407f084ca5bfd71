#ifndef AUBURNRAIL_WIRE_RELAYENCODING_H
#define AUBURNRAIL_WIRE_RELAYENCODING_H

#include <relay/RelayCodec.h>

namespace auburnrail {

/// The encoding of messages between entries: a length of four bytes, then a Thrift struct in the
/// compact protocol.
[[nodiscard]] auto makeRelayCodec() -> RelayCodec;

} // namespace auburnrail

#endif
