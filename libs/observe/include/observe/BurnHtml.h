#ifndef AUBURNRAIL_OBSERVE_BURNHTML_H
#define AUBURNRAIL_OBSERVE_BURNHTML_H

#include <observe/BurnStatus.h>

#include <string>
#include <vector>

namespace auburnrail {

/// The report as one HTML page without references to anything outside it.
[[nodiscard]] auto burnHtml(const std::vector<BurnStatus> &statuses) -> std::string;

} // namespace auburnrail

#endif
