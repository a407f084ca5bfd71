#ifndef AUBURNRAIL_WIRE_CONSENSUSCODEC_H
#define AUBURNRAIL_WIRE_CONSENSUSCODEC_H

#include <consensus/LogEntry.h>
#include <consensus/Message.h>
#include <consensus/Snapshot.h>

#include <absl/status/statusor.h>

#include <string>

namespace auburnrail {

/// Thrift compact encodings of consensus values: of entries and snapshots as they are stored, and
/// of messages as they are sent (without the frame and call header). Decoding gives `kDataLoss` for
/// bytes that are no such value.
[[nodiscard]] auto encodeEntry(const LogEntry &entry) -> std::string;
[[nodiscard]] auto decodeEntry(const std::string &bytes) -> absl::StatusOr<LogEntry>;

[[nodiscard]] auto encodeConsensusSnapshot(const Snapshot &snapshot) -> std::string;
[[nodiscard]] auto decodeConsensusSnapshot(const std::string &bytes) -> absl::StatusOr<Snapshot>;

[[nodiscard]] auto encodeMessage(const Message &message) -> std::string;
[[nodiscard]] auto decodeMessage(const std::string &bytes) -> absl::StatusOr<Message>;

} // namespace auburnrail

#endif
