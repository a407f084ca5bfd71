#ifndef AUBURNRAIL_REQUEST_REQUESTFINGERPRINT_H
#define AUBURNRAIL_REQUEST_REQUESTFINGERPRINT_H

#include <request/CallerRequest.h>

#include <string>

namespace auburnrail::detail {

/// SHA-256 in hexadecimal of the service, mode and statement. Two requests with one idempotency key
/// are the same request when their fingerprints are equal.
[[nodiscard]] auto fingerprintOf(const CallerRequest &request) -> std::string;

} // namespace auburnrail::detail

#endif
