#ifndef AUBURNRAIL_OBSERVE_BURNTEXT_H
#define AUBURNRAIL_OBSERVE_BURNTEXT_H

#include <observe/BurnStatus.h>

#include <string>
#include <vector>

namespace auburnrail {

/// The report as plain text, one objective a paragraph.
[[nodiscard]] auto burnText(const std::vector<BurnStatus> &statuses) -> std::string;

} // namespace auburnrail

#endif
