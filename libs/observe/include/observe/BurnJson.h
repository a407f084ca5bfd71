#ifndef AUBURNRAIL_OBSERVE_BURNJSON_H
#define AUBURNRAIL_OBSERVE_BURNJSON_H

#include <observe/BurnStatus.h>

#include <http/JsonWriter.h>

#include <vector>

namespace auburnrail {

/// The report as a JSON object with the member `objectives`.
[[nodiscard]] auto burnJson(const std::vector<BurnStatus> &statuses) -> JsonWriter;

} // namespace auburnrail

#endif
