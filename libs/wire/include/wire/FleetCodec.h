#ifndef AUBURNRAIL_WIRE_FLEETCODEC_H
#define AUBURNRAIL_WIRE_FLEETCODEC_H

#include <state/Command.h>
#include <state/CommandResult.h>
#include <state/FleetSnapshot.h>
#include <state/FleetUpdate.h>

#include <absl/status/statusor.h>

#include <string>

namespace auburnrail {

// Fleet types in the Thrift compact protocol (idl/Fleet.thrift). Decoding damaged bytes gives
// `kDataLoss`, never an exception, and allocates no more than a small multiple of their size.
// Safe from any thread.

[[nodiscard]] auto encodeCommand(const Command &command) -> std::string;
[[nodiscard]] auto decodeCommand(const std::string &bytes) -> absl::StatusOr<Command>;

[[nodiscard]] auto encodeCommandResult(const CommandResult &result) -> std::string;
[[nodiscard]] auto decodeCommandResult(const std::string &bytes) -> absl::StatusOr<CommandResult>;

[[nodiscard]] auto encodeChanges(const FleetUpdate &update) -> std::string;
[[nodiscard]] auto decodeChanges(const std::string &bytes) -> absl::StatusOr<FleetUpdate>;

[[nodiscard]] auto encodeSnapshot(const FleetSnapshot &snapshot) -> std::string;
[[nodiscard]] auto decodeSnapshot(const std::string &bytes) -> absl::StatusOr<FleetSnapshot>;

} // namespace auburnrail

#endif
