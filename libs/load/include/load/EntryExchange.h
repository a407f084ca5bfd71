#ifndef AUBURNRAIL_LOAD_ENTRYEXCHANGE_H
#define AUBURNRAIL_LOAD_ENTRYEXCHANGE_H

#include <load/LoadExchangeResult.h>

#include <request/CallerRequest.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace auburnrail {

/// Exchanges with the entries at `addresses` over connections of its own. Thread rule: one caller.
[[nodiscard]] auto makeEntryExchange(const std::vector<std::string> &addresses)
    -> std::function<auto(std::size_t, const CallerRequest &)->LoadExchangeResult>;

} // namespace auburnrail

#endif
