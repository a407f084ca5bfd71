#ifndef AUBURNRAIL_WIRE_HEARTBEATCODEC_H
#define AUBURNRAIL_WIRE_HEARTBEATCODEC_H

#include "HeartbeatPayloads.h"

#include <Control_types.h>

#include <heartbeat/Heartbeat.h>
#include <heartbeat/HeartbeatAnswer.h>

#include <absl/status/statusor.h>

namespace auburnrail::detail {

[[nodiscard]] auto toMessage(const Heartbeat &heartbeat) -> thriftgen::HeartbeatMessage;
[[nodiscard]] auto fromMessage(const thriftgen::HeartbeatMessage &message) -> Heartbeat;
/// State changes that were sent before are taken from `payloads`.
[[nodiscard]] auto toMessage(const HeartbeatAnswer &answer, HeartbeatPayloads &payloads)
    -> thriftgen::HeartbeatAnswerMessage;

/// `kDataLoss` when a value is out of its table or a payload can't be decoded.
[[nodiscard]] auto fromMessage(const thriftgen::HeartbeatAnswerMessage &message)
    -> absl::StatusOr<HeartbeatAnswer>;

} // namespace auburnrail::detail

#endif
