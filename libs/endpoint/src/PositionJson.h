#ifndef AUBURNRAIL_ENDPOINT_POSITIONJSON_H
#define AUBURNRAIL_ENDPOINT_POSITIONJSON_H

#include <http/JsonReader.h>
#include <http/JsonWriter.h>

#include <core/Position.h>

#include <string>

namespace auburnrail::detail {

auto writePosition(JsonWriter &writer, const std::string &member, Position position) -> void;

[[nodiscard]] auto readPosition(JsonReader &reader, const std::string &member) -> Position;

} // namespace auburnrail::detail

#endif
