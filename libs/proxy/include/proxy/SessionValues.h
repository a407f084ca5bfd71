#ifndef AUBURNRAIL_PROXY_SESSIONVALUES_H
#define AUBURNRAIL_PROXY_SESSIONVALUES_H

#include <map>
#include <string>

namespace auburnrail {

/// Values that a client set for its session, by name.
using SessionValues = std::map<std::string, std::string>;

} // namespace auburnrail

#endif
