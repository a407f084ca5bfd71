#ifndef AUBURNRAIL_OPERATORS_COMMANDMAKER_H
#define AUBURNRAIL_OPERATORS_COMMANDMAKER_H

#include "Invocation.h"

#include <core/Findings.h>
#include <state/CommandBody.h>

#include <optional>
#include <string>
#include <vector>

namespace auburnrail::detail {

/// Labels of `key=value` arguments.
[[nodiscard]] auto parseLabels(const std::vector<std::string> &arguments, Findings &findings)
    -> Labels;

/// Kind named by an argument.
[[nodiscard]] auto parseKind(const std::string &name, Findings &findings) -> ObjectKind;

/// The object that `KIND set NAME` asks for: the given options over the object's JSON text, which
/// is
/// "{}" when it does not exist.
[[nodiscard]] auto makeObject(const Invocation &invocation, const std::string &existing,
                              Findings &findings) -> FleetObject;

/// The body of a command that needs neither the object's settings nor a secret; nothing for others.
[[nodiscard]] auto makeCommandBody(const Invocation &invocation, Findings &findings)
    -> std::optional<CommandBody>;

} // namespace auburnrail::detail

#endif
