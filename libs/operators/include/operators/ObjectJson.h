#ifndef AUBURNRAIL_OPERATORS_OBJECTJSON_H
#define AUBURNRAIL_OPERATORS_OBJECTJSON_H

#include <http/JsonReader.h>
#include <http/JsonWriter.h>
#include <state/FleetObject.h>

namespace auburnrail {

/// JSON form of an object. The hash of a key is left out of listings, which need no part of it.
[[nodiscard]] auto encodeObject(const FleetObject &object, bool withKeyHash) -> JsonWriter;

/// Reads an object; every fault is a finding of `reader`.
[[nodiscard]] auto decodeObject(JsonReader &reader) -> FleetObject;

/// Reads the member `kind`, which must be set.
[[nodiscard]] auto decodeKind(JsonReader &reader) -> ObjectKind;

} // namespace auburnrail

#endif
