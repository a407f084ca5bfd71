#ifndef AUBURNRAIL_CONTROL_FAILOVERJSON_H
#define AUBURNRAIL_CONTROL_FAILOVERJSON_H

#include <failover/FailoverRecord.h>
#include <http/JsonWriter.h>

#include <core/Time.h>

namespace auburnrail::detail {

/// The record as a JSON object; each phase has its duration in milliseconds.
[[nodiscard]] auto failoverJson(const FailoverRecord &record, TimePoint now) -> JsonWriter;

} // namespace auburnrail::detail

#endif
