#ifndef AUBURNRAIL_ENTRY_TOKENLOOPHOOKS_H
#define AUBURNRAIL_ENTRY_TOKENLOOPHOOKS_H

#include <quota/TokenRequest.h>
#include <quota/TokenResponse.h>

#include <core/Time.h>

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace auburnrail {

/// Functions that the entry provides to a TokenLoop. Called on the loop's thread.
struct TokenLoopHooks
{
    /// Name of the member that granted the lease last; empty before the first.
    std::function<auto()->std::string> leader;

    /// Sends a request to a control member and waits for the response, for as long as `isWanted`
    /// returns true.
    std::function<auto(const std::string &member, const TokenRequest &request, Duration timeLimit,
                       const std::function<auto()->bool> &isWanted)
                      ->absl::StatusOr<TokenResponse>>
        send;
};

} // namespace auburnrail

#endif
