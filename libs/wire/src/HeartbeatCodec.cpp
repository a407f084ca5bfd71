#include "HeartbeatCodec.h"

#include "BurnConversion.h"
#include "Compression.h"
#include "WireLimits.h"

#include <wire/FleetCodec.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace auburnrail::detail {

namespace {

auto toShareMessages(const std::vector<Share> &shares) -> std::vector<thriftgen::ShareMessage>
{
    auto messages = std::vector<thriftgen::ShareMessage>();
    for (const auto &share : shares) {
        auto &message = messages.emplace_back();
        message.organisation = share.organisation;
        message.rate = share.rate;
        message.burst = share.burst;
        message.tokens = share.tokens;
    }
    return messages;
}

auto fromShareMessages(const std::vector<thriftgen::ShareMessage> &messages) -> std::vector<Share>
{
    auto shares = std::vector<Share>();
    for (const auto &message : messages)
        shares.push_back(Share{message.organisation, message.rate, message.burst, message.tokens});
    return shares;
}

auto toPeerMessages(const std::vector<RelayPeer> &peers) -> std::vector<thriftgen::RelayPeerMessage>
{
    auto messages = std::vector<thriftgen::RelayPeerMessage>();
    for (const auto &peer : peers) {
        auto &message = messages.emplace_back();
        message.instance = peer.instance;
        message.zone = peer.zone;
        message.address = peer.address;
    }
    return messages;
}

auto fromPeerMessages(const std::vector<thriftgen::RelayPeerMessage> &messages)
    -> std::shared_ptr<const std::vector<RelayPeer>>
{
    auto peers = std::vector<RelayPeer>();
    for (const auto &message : messages)
        peers.push_back(RelayPeer{message.instance, message.zone, message.address});
    return std::make_shared<const std::vector<RelayPeer>>(std::move(peers));
}

auto toDemandMessages(const std::vector<Demand> &demands) -> std::vector<thriftgen::DemandMessage>
{
    auto messages = std::vector<thriftgen::DemandMessage>();
    for (const auto &demand : demands) {
        auto &message = messages.emplace_back();
        message.organisation = demand.organisation;
        message.arrivedPerSecond = demand.arrivedPerSecond;
        message.refused = static_cast<std::int64_t>(demand.refused);
        message.backlog = static_cast<std::int64_t>(demand.backlog);
    }
    return messages;
}

auto fromDemandMessages(const std::vector<thriftgen::DemandMessage> &messages)
    -> std::vector<Demand>
{
    auto demands = std::vector<Demand>();
    for (const auto &message : messages) {
        demands.push_back(Demand{.organisation = message.organisation,
                                 .arrivedPerSecond = message.arrivedPerSecond,
                                 .refused = static_cast<std::uint64_t>(message.refused),
                                 .backlog = static_cast<std::uint64_t>(message.backlog)});
    }
    return demands;
}

auto toAnnouncementMessage(const Announcement &announcement) -> thriftgen::AnnouncementMessage
{
    auto message = thriftgen::AnnouncementMessage();
    message.endpoint = announcement.endpoint;
    message.group = announcement.group;
    message.zone = announcement.zone;
    message.address = announcement.address;
    message.labels.insert(announcement.labels.begin(), announcement.labels.end());
    message.connectionLimit = announcement.connectionLimit;
    message.leaving = announcement.leaving;
    message.term = static_cast<std::int64_t>(announcement.term);
    message.primary = announcement.primary;
    return message;
}

auto fromAnnouncementMessage(const thriftgen::AnnouncementMessage &message) -> Announcement
{
    auto announcement = Announcement();
    announcement.endpoint = message.endpoint;
    announcement.group = message.group;
    announcement.zone = message.zone;
    announcement.address = message.address;
    announcement.labels.insert(message.labels.begin(), message.labels.end());
    announcement.connectionLimit = message.connectionLimit;
    announcement.leaving = message.leaving;
    announcement.term = static_cast<std::uint64_t>(message.term);
    announcement.primary = message.primary;
    return announcement;
}

auto toPrimaryMessage(const PrimaryReport &report) -> thriftgen::PrimaryReportMessage
{
    auto message = thriftgen::PrimaryReportMessage();
    message.group = report.group;
    message.term = static_cast<std::int64_t>(report.term);
    if (report.unreachableFor)
        message.__set_unreachableMillis(toMillis(*report.unreachableFor));
    return message;
}

auto fromPrimaryMessage(const thriftgen::PrimaryReportMessage &message) -> PrimaryReport
{
    auto report = PrimaryReport{.group = message.group,
                                .term = static_cast<std::uint64_t>(message.term),
                                .unreachableFor = {}};
    if (message.__isset.unreachableMillis)
        report.unreachableFor = std::chrono::milliseconds(message.unreachableMillis);
    return report;
}

auto toStampMessage(const LeaderStamp &stamp) -> thriftgen::LeaderStampMessage
{
    auto message = thriftgen::LeaderStampMessage();
    message.leadership = static_cast<std::int64_t>(stamp.leadership);
    message.nanos = Duration(stamp.at.time_since_epoch()).count();
    return message;
}

auto fromStampMessage(const thriftgen::LeaderStampMessage &message) -> LeaderStamp
{
    return LeaderStamp{.leadership = static_cast<std::uint64_t>(message.leadership),
                       .at = TimePoint(Duration(message.nanos))};
}

auto toStampedMessage(const StampedPosition &stamped) -> thriftgen::StampedPositionMessage
{
    auto message = thriftgen::StampedPositionMessage();
    message.positionTerm = static_cast<std::int64_t>(stamped.position.term);
    message.positionIndex = static_cast<std::int64_t>(stamped.position.index);
    message.after = toStampMessage(stamped.after);
    return message;
}

auto fromStampedMessage(const thriftgen::StampedPositionMessage &message) -> StampedPosition
{
    return StampedPosition{.position = {static_cast<std::uint64_t>(message.positionTerm),
                                        static_cast<std::uint64_t>(message.positionIndex)},
                           .after = fromStampMessage(message.after)};
}

auto toAcknowledgedMessage(const AcknowledgedReport &report) -> thriftgen::AcknowledgedReportMessage
{
    auto message = thriftgen::AcknowledgedReportMessage();
    message.group = report.group;
    message.term = static_cast<std::int64_t>(report.term);
    message.positionTerm = static_cast<std::int64_t>(report.position.term);
    message.positionIndex = static_cast<std::int64_t>(report.position.index);
    for (const auto &stamped : report.observed) {
        message.observed.push_back(toStampedMessage(stamped));
        message.__isset.observed = true;
    }
    return message;
}

auto fromAcknowledgedMessage(const thriftgen::AcknowledgedReportMessage &message)
    -> AcknowledgedReport
{
    auto report =
        AcknowledgedReport{.group = message.group,
                           .term = static_cast<std::uint64_t>(message.term),
                           .position = {static_cast<std::uint64_t>(message.positionTerm),
                                        static_cast<std::uint64_t>(message.positionIndex)},
                           .observed = {}};
    for (const auto &stamped : message.observed)
        report.observed.push_back(fromStampedMessage(stamped));
    return report;
}

/// Decodes a value of the type that `decode` returns, which is compressed if its size is given.
template <typename T>
auto decodePayload(const std::string &bytes, std::optional<std::int32_t> uncompressedBytes,
                   const std::function<auto(const std::string &)->absl::StatusOr<T>> &decode)
    -> absl::StatusOr<std::shared_ptr<const T>>
{
    auto decompressed = absl::StatusOr<std::string>();
    if (uncompressedBytes) {
        if (*uncompressedBytes < 0 || *uncompressedBytes > MAX_PAYLOAD_BYTES)
            return absl::DataLossError("the size of the state is out of range");
        decompressed = decompress(bytes, static_cast<std::size_t>(*uncompressedBytes));
        if (!decompressed.ok())
            return decompressed.status();
    }
    auto value = decode(uncompressedBytes ? *decompressed : bytes);
    if (!value.ok())
        return value.status();
    return std::make_shared<const T>(*std::move(value));
}

auto decodePayloads(const thriftgen::HeartbeatAnswerMessage &message, HeartbeatAnswer &answer)
    -> absl::Status
{
    const auto sizeIf = [](bool isSet, std::int32_t size) {
        return isSet ? std::optional(size) : std::nullopt;
    };
    if (message.__isset.update) {
        auto update = decodePayload<FleetUpdate>(
            message.update, sizeIf(message.__isset.updateBytes, message.updateBytes),
            decodeChanges);
        if (!update.ok())
            return update.status();
        answer.update = *std::move(update);
    }
    if (message.__isset.snapshot) {
        auto snapshot = decodePayload<FleetSnapshot>(
            message.snapshot, sizeIf(message.__isset.snapshotBytes, message.snapshotBytes),
            decodeSnapshot);
        if (!snapshot.ok())
            return snapshot.status();
        answer.snapshot = *std::move(snapshot);
    }
    return absl::OkStatus();
}

} // namespace

auto toMessage(const Heartbeat &heartbeat) -> thriftgen::HeartbeatMessage
{
    auto message = thriftgen::HeartbeatMessage();
    message.instance = heartbeat.instance;
    message.incarnation = static_cast<std::int64_t>(heartbeat.incarnation);
    message.zone = heartbeat.zone;
    message.operatorsAddress = heartbeat.operatorsAddress;
    if (!heartbeat.relayAddress.empty()) {
        message.__set_relayAddress(heartbeat.relayAddress);
        message.__set_peersFingerprint(static_cast<std::int64_t>(heartbeat.peersFingerprint));
    }
    message.appliedRevision = static_cast<std::int64_t>(heartbeat.appliedRevision);
    message.shareSequence = static_cast<std::int64_t>(heartbeat.shares.sequence);
    message.shareLeadership = static_cast<std::int64_t>(heartbeat.shares.leadership);
    message.unusedMicros =
        std::chrono::duration_cast<std::chrono::microseconds>(heartbeat.shares.unusedFor).count();
    message.demands = toDemandMessages(heartbeat.shares.demands);
    message.heldShares = toShareMessages(heartbeat.shares.heldShares);
    for (const auto &announcement : heartbeat.endpoints)
        message.endpoints.push_back(toAnnouncementMessage(announcement));
    for (const auto &report : heartbeat.primaries)
        message.primaries.push_back(toPrimaryMessage(report));
    for (const auto &report : heartbeat.acknowledged) {
        message.acknowledged.push_back(toAcknowledgedMessage(report));
        message.__isset.acknowledged = true;
    }
    for (const auto &contribution : heartbeat.burn)
        message.burn.push_back(toBurnMessage(contribution));
    message.holdMillis = toMillis(heartbeat.holdLimit);
    return message;
}

auto fromMessage(const thriftgen::HeartbeatMessage &message) -> Heartbeat
{
    auto heartbeat = Heartbeat();
    heartbeat.instance = message.instance;
    heartbeat.incarnation = static_cast<std::uint64_t>(message.incarnation);
    heartbeat.zone = message.zone;
    heartbeat.operatorsAddress = message.operatorsAddress;
    heartbeat.relayAddress = message.relayAddress;
    heartbeat.peersFingerprint = static_cast<std::uint64_t>(message.peersFingerprint);
    heartbeat.appliedRevision = static_cast<Revision>(message.appliedRevision);
    heartbeat.shares.holder = HolderId{heartbeat.instance, heartbeat.incarnation};
    heartbeat.shares.zone = heartbeat.zone;
    heartbeat.shares.sequence = static_cast<std::uint64_t>(message.shareSequence);
    heartbeat.shares.leadership = static_cast<std::uint64_t>(message.shareLeadership);
    heartbeat.shares.unusedFor = std::chrono::microseconds(message.unusedMicros);
    heartbeat.shares.demands = fromDemandMessages(message.demands);
    heartbeat.shares.heldShares = fromShareMessages(message.heldShares);
    for (const auto &announcement : message.endpoints)
        heartbeat.endpoints.push_back(fromAnnouncementMessage(announcement));
    for (const auto &report : message.primaries)
        heartbeat.primaries.push_back(fromPrimaryMessage(report));
    for (const auto &report : message.acknowledged)
        heartbeat.acknowledged.push_back(fromAcknowledgedMessage(report));
    for (const auto &contribution : message.burn)
        heartbeat.burn.push_back(fromBurnMessage(contribution));
    heartbeat.holdLimit = std::chrono::milliseconds(message.holdMillis);
    return heartbeat;
}

auto toMessage(const HeartbeatAnswer &answer, HeartbeatPayloads &payloads)
    -> thriftgen::HeartbeatAnswerMessage
{
    auto message = thriftgen::HeartbeatAnswerMessage();
    message.status = static_cast<std::int32_t>(answer.lease.status);
    message.leader = answer.leader;
    message.leaseMillis = toMillis(answer.lease.duration);
    message.minimumRevision = static_cast<std::int64_t>(answer.lease.minimumRevision);
    message.entries = static_cast<std::int32_t>(answer.entries);
    message.zoneEntries = static_cast<std::int32_t>(answer.zoneEntries);
    if (answer.stamp)
        message.__set_stamp(toStampMessage(*answer.stamp));
    if (!answer.members.empty())
        message.__set_members(answer.members);
    if (answer.peers != nullptr)
        message.__set_peers(toPeerMessages(*answer.peers));
    if (answer.update) {
        const auto payload = payloads.updates.payloadOf(answer.update);
        message.__set_update(payload->bytes);
        if (payload->uncompressedBytes)
            message.__set_updateBytes(*payload->uncompressedBytes);
    }
    if (answer.snapshot) {
        const auto payload = payloads.snapshots.payloadOf(answer.snapshot);
        message.__set_snapshot(payload->bytes);
        if (payload->uncompressedBytes)
            message.__set_snapshotBytes(*payload->uncompressedBytes);
    }
    message.shareSequence = static_cast<std::int64_t>(answer.shares.sequence);
    message.shareLeadership = static_cast<std::int64_t>(answer.shares.leadership);
    message.shares = toShareMessages(answer.shares.shares);
    return message;
}

auto fromMessage(const thriftgen::HeartbeatAnswerMessage &message)
    -> absl::StatusOr<HeartbeatAnswer>
{
    const auto status = static_cast<LeaseStatus>(message.status);
    const auto isKnown = std::any_of(ENUM_NAMES<LeaseStatus>.begin(), ENUM_NAMES<LeaseStatus>.end(),
                                     [&](const auto &row) { return row.value == status; });
    if (!isKnown)
        return absl::DataLossError("unknown lease status " + std::to_string(message.status));
    auto answer = HeartbeatAnswer();
    answer.lease.status = status;
    answer.lease.duration = std::chrono::milliseconds(message.leaseMillis);
    answer.lease.minimumRevision = static_cast<Revision>(message.minimumRevision);
    answer.entries = static_cast<std::uint32_t>(std::max(message.entries, 0));
    answer.zoneEntries = static_cast<std::uint32_t>(std::max(message.zoneEntries, 0));
    answer.leader = message.leader;
    answer.members = message.members;
    if (message.__isset.stamp)
        answer.stamp = fromStampMessage(message.stamp);
    if (message.__isset.peers)
        answer.peers = fromPeerMessages(message.peers);
    answer.shares.sequence = static_cast<std::uint64_t>(message.shareSequence);
    answer.shares.leadership = static_cast<std::uint64_t>(message.shareLeadership);
    answer.shares.shares = fromShareMessages(message.shares);
    if (auto decoded = decodePayloads(message, answer); !decoded.ok())
        return decoded;
    return answer;
}

} // namespace auburnrail::detail
