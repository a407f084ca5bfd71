#ifndef AUBURNRAIL_PROXY_SERVERINPUT_H
#define AUBURNRAIL_PROXY_SERVERINPUT_H

#include <proxy/StatementResponse.h>

#include <cstddef>
#include <string>

namespace auburnrail {

/// Result of decoding some bytes received from a server.
struct ServerInput
{
    std::size_t bytes = 0; ///< Bytes consumed; complete messages only.
    bool ended = false;    ///< The response is complete.
    std::string
        error; ///< Not empty: the bytes are no valid response; the connection must be closed.
};

} // namespace auburnrail

#endif
