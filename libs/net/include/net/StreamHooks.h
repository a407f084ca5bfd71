#ifndef AUBURNRAIL_NET_STREAMHOOKS_H
#define AUBURNRAIL_NET_STREAMHOOKS_H

#include <cstddef>
#include <functional>
#include <string_view>

namespace auburnrail {

/// What a StreamConnection does with what arrives. Hooks of one connection run one at a time.
struct StreamHooks
{
    /// Takes the bytes that were received and not consumed yet, and returns how many it consumed.
    std::function<auto(std::string_view bytes)->std::size_t> received;

    /// The connection is gone, whichever side ended it. Called once, and nothing after it.
    std::function<auto()->void> closed;
};

} // namespace auburnrail

#endif
