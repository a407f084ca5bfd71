#ifndef AUBURNRAIL_PROXY_SERVERINPUT_H
#define AUBURNRAIL_PROXY_SERVERINPUT_H

#include <proxy/StatementAnswer.h>

#include <cstddef>
#include <string>

namespace auburnrail {

/// What one decoding step of a server's bytes yielded.
struct ServerInput
{
    std::size_t bytes = 0; ///< Consumed; whole messages only.
    bool ended = false;    ///< The answer is whole.
    std::string fault;     ///< Not empty: the bytes are no answer, and the connection must end.
};

} // namespace auburnrail

#endif
