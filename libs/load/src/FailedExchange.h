#ifndef AUBURNRAIL_LOAD_FAILEDEXCHANGE_H
#define AUBURNRAIL_LOAD_FAILEDEXCHANGE_H

#include <load/LoadExchangeResult.h>

#include <http/ExchangeResult.h>

namespace auburnrail::detail {

/// What a caller knows after an exchange that brought no whole answer.
[[nodiscard]] auto describeFailure(const ExchangeResult &exchange) -> LoadExchangeResult;

} // namespace auburnrail::detail

#endif
