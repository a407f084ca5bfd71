#ifndef AUBURNRAIL_OBSERVE_EXPLAINJSON_H
#define AUBURNRAIL_OBSERVE_EXPLAINJSON_H

#include <observe/ExplainRecord.h>

#include <http/JsonWriter.h>

namespace auburnrail {

/// The record as a JSON object; facts are objects {name, value} in their order.
[[nodiscard]] auto explainJson(const ExplainRecord &record) -> JsonWriter;

} // namespace auburnrail

#endif
