#ifndef AUBURNRAIL_OPERATORS_CLIENTHOOKS_H
#define AUBURNRAIL_OPERATORS_CLIENTHOOKS_H

#include <http/ExchangeResult.h>
#include <http/HttpRequest.h>

#include <core/Time.h>

#include <functional>
#include <string>

namespace auburnrail {

/// How the operators' program reaches control members.
struct ClientHooks
{
    std::function<
        auto(const std::string &address, const HttpRequest &, Duration timeout)->ExchangeResult>
        exchange;
    Clock now;
    std::function<auto(Duration)->void> pause; ///< Between rounds of attempts.
};

} // namespace auburnrail

#endif
