#ifndef AUBURNRAIL_QUOTA_TOKENREQUESTERHOOKS_H
#define AUBURNRAIL_QUOTA_TOKENREQUESTERHOOKS_H

#include <core/Time.h>

#include <functional>
#include <optional>
#include <string>

namespace auburnrail {

/// Functions that the entry provides to a TokenRequester.
struct TokenRequesterHooks
{
    /// Time until the holder's own share yields a token; nothing when it never does. Called with
    /// the requester's mutex held.
    std::function<auto(const std::string &organisation, TimePoint now)->std::optional<Duration>>
        timeToOwnToken;

    /// A request may have become due earlier than nextRequestAt() said before. May be empty. Called
    /// with no mutex of the requester held.
    std::function<auto()->void> requestWanted;

    /// Optional: a request is about to be sent.
    std::function<auto()->void> requestBegins;
};

} // namespace auburnrail

#endif
