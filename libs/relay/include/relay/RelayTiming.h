#ifndef AUBURNRAIL_RELAY_RELAYTIMING_H
#define AUBURNRAIL_RELAY_RELAYTIMING_H

#include <core/Time.h>

#include <cstddef>

namespace auburnrail {

/// A link whose peer owes a response and was silent for this long is asked for a sign of life.
constexpr auto RELAY_PING_AFTER_MS = std::chrono::milliseconds(150);

/// A link whose peer was silent for this long, though it owes a response, is broken. A saturated
/// network link may hold packets for half a second.
constexpr auto RELAY_SILENCE_LIMIT_MS = std::chrono::milliseconds(600);

/// Time limit for opening a link, up to the challenge. Two round trips between regions and a lost
/// packet.
constexpr auto RELAY_OPEN_TIME_LIMIT_MS = std::chrono::milliseconds(400);

/// A link without requests for this long is closed.
constexpr auto RELAY_UNUSED_LIMIT_S = std::chrono::seconds(30);

/// Longest message, and bytes that a peer has not taken yet; a link beyond them is closed. As much
/// as a client may leave unread of a response.
constexpr auto RELAY_MAX_MESSAGE_BYTES = std::size_t(4) * 1024 * 1024;
constexpr auto RELAY_MAX_OUTPUT_BYTES = RELAY_MAX_MESSAGE_BYTES + std::size_t(64) * 1024;

/// Bytes that wait until a link is ready; beyond them requests are refused at once.
constexpr auto RELAY_MAX_UNSENT_BYTES = std::size_t(1024) * 1024;

/// Channels of one link at one time.
constexpr auto RELAY_MAX_CHANNELS = std::size_t(1024);

} // namespace auburnrail

#endif
