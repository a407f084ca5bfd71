#ifndef AUBURNRAIL_CONSENSUS_MEMBERNAME_H
#define AUBURNRAIL_CONSENSUS_MEMBERNAME_H

#include <string>

namespace auburnrail {

/// Name of a control member in the settings, unique in the cluster.
using MemberName = std::string;

} // namespace auburnrail

#endif
