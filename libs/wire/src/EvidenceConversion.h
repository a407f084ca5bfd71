#ifndef AUBURNRAIL_WIRE_EVIDENCECONVERSION_H
#define AUBURNRAIL_WIRE_EVIDENCECONVERSION_H

#include <state/TermEvidence.h>

#include <Fleet_types.h>

namespace auburnrail::detail {

// Domain types to and from generated ones.

[[nodiscard]] auto toWire(const Position &position) -> wire::Position;
[[nodiscard]] auto fromWire(const wire::Position &position) -> Position;

[[nodiscard]] auto toWire(const TermEvidence &evidence) -> wire::TermEvidence;
[[nodiscard]] auto fromWire(wire::TermEvidence &&evidence) -> TermEvidence;

} // namespace auburnrail::detail

#endif
