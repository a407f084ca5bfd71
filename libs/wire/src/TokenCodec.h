#ifndef AUBURNRAIL_WIRE_TOKENCODEC_H
#define AUBURNRAIL_WIRE_TOKENCODEC_H

#include <quota/TokenRequest.h>
#include <quota/TokenResponse.h>

#include <Control_types.h>

namespace auburnrail::detail {

[[nodiscard]] auto toMessage(const TokenRequest &request) -> thriftgen::TokenRequestMessage;
[[nodiscard]] auto fromMessage(const thriftgen::TokenRequestMessage &message) -> TokenRequest;

[[nodiscard]] auto toMessage(const TokenResponse &response) -> thriftgen::TokenResponseMessage;
[[nodiscard]] auto fromMessage(const thriftgen::TokenResponseMessage &message) -> TokenResponse;

} // namespace auburnrail::detail

#endif
