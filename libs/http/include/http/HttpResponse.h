#ifndef AUBURNRAIL_HTTP_HTTPRESPONSE_H
#define AUBURNRAIL_HTTP_HTTPRESPONSE_H

#include <http/HttpHeaders.h>

#include <cstddef>
#include <string>

namespace auburnrail {

/// One HTTP response, whole.
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    std::string contentType = "application/json";
    std::size_t withheldBytes = 0; ///< Fault injection: bytes at the end of the body not sent.
    bool keepOpen = false;         ///< The connection stays open even while the server drains.
    bool closeConnection = false;  ///< The server ends the connection after this response.
};

} // namespace auburnrail

#endif
