#ifndef AUBURNRAIL_LOAD_DIRECTEXCHANGE_H
#define AUBURNRAIL_LOAD_DIRECTEXCHANGE_H

#include <load/LoadExchangeResult.h>

#include <request/CallerRequest.h>

#include <cstddef>
#include <functional>
#include <string>

namespace auburnrail {

/// Exchanges with one emulated endpoint, without the proxy, over a connection of its own; gives the
/// proxy's own cost by comparison. Thread rule: one caller.
[[nodiscard]] auto makeDirectExchange(const std::string &address)
    -> std::function<auto(std::size_t, const CallerRequest &)->LoadExchangeResult>;

} // namespace auburnrail

#endif
