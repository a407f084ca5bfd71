#ifndef AUBURNRAIL_HTTP_HTTPREQUEST_H
#define AUBURNRAIL_HTTP_HTTPREQUEST_H

#include <http/HttpHeaders.h>

#include <string>

namespace auburnrail {

/// One HTTP request, whole.
struct HttpRequest
{
    std::string method = "POST";
    std::string target; ///< Path and query.
    HttpHeaders headers;
    std::string body;
    std::string peer; ///< IP:port of the sender; set by the server.
};

} // namespace auburnrail

#endif
