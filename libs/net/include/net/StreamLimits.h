#ifndef AUBURNRAIL_NET_STREAMLIMITS_H
#define AUBURNRAIL_NET_STREAMLIMITS_H

#include <core/Time.h>

#include <cstddef>

namespace auburnrail {

/// Limits of one StreamConnection.
struct StreamLimits
{
    /// Bytes received and not consumed. A message of the line protocol has at most 1 MiB.
    std::size_t maxInputBytes = std::size_t(1024) * 1024 + 4096;

    /// Bytes that the peer has not taken yet; beyond them it is taken for one that does not read.
    std::size_t maxOutputBytes = std::size_t(4) * 1024 * 1024;

    /// Sent data that is not acknowledged for this long ends the connection (TCP_USER_TIMEOUT), and
    /// an idle peer that does not answer keep-alive probes for this long does too. Within a usual
    /// statement timeout of a few seconds, so that callers still get an answer.
    Duration silenceLimit = std::chrono::seconds(3);
};

} // namespace auburnrail

#endif
