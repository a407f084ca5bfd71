#include <control/TokenService.h>

namespace auburnrail {

TokenService::TokenService(ControlTables &controlTables)
    : tables(controlTables)
{
}

auto TokenService::respond(const TokenRequest &request) -> TokenResponse
{
    const auto now = this->tables.executor.now();
    if (!this->tables.isLeading(now))
        return TokenResponse{};
    return this->tables.ledger.takeTokens(request, now);
}

} // namespace auburnrail
