// Messages between entries and control members.
namespace cpp auburnrail.thriftgen

struct DemandMessage {
  1: string organisation
  2: double arrivedPerSecond
  3: i64 refused
  4: i64 backlog
}

struct ShareMessage {
  1: string organisation
  2: i64 rate
  3: i64 burst
  4: i64 tokens
}

struct AnnouncementMessage {
  1: string endpoint
  2: string group
  3: string zone
  4: string address
  5: map<string, string> labels
  6: i64 connectionLimit
  7: bool leaving
  8: i64 term
  9: bool primary
}

struct PrimaryReportMessage {
  1: string group
  2: i64 term
  3: optional i64 unreachableMillis
}

struct LeaderStampMessage {
  1: i64 leadership
  2: i64 nanos
}

struct StampedPositionMessage {
  1: i64 positionTerm
  2: i64 positionIndex
  3: LeaderStampMessage after
}

struct AcknowledgedReportMessage {
  1: string group
  2: i64 term
  3: i64 positionTerm
  4: i64 positionIndex
  5: optional list<StampedPositionMessage> observed
}

struct BurnRowMessage {
  1: string objective
  2: string serviceName
  3: string organisation
  4: i32 reason
  5: i64 good
  6: i64 bad
}

struct BurnContributionMessage {
  1: string source
  2: i64 startMillis
  3: list<BurnRowMessage> rows
}

struct HeartbeatMessage {
  1: string instance
  2: i64 incarnation
  3: string zone
  4: i64 appliedRevision
  5: i64 shareSequence
  6: list<DemandMessage> demands
  7: list<ShareMessage> heldShares
  8: list<AnnouncementMessage> endpoints
  9: list<PrimaryReportMessage> primaries
  10: i64 holdMillis
  11: string operatorsAddress
  12: list<BurnContributionMessage> burn
  13: i64 shareLeadership
  14: i64 unusedMicros
  15: optional string relayAddress
  16: optional i64 peersFingerprint
  17: optional list<AcknowledgedReportMessage> acknowledged
}

struct RelayPeerMessage {
  1: string instance
  2: string zone
  3: string address
}

struct HeartbeatAnswerMessage {
  1: i32 status
  2: string leader
  3: i64 leaseMillis
  4: optional binary update
  5: optional binary snapshot
  6: i64 shareSequence
  7: list<ShareMessage> shares
  8: i64 minimumRevision
  9: i32 entries
  10: i32 zoneEntries
  11: i64 shareLeadership
  // Sizes before compression, if `update` or `snapshot` is compressed (zlib).
  12: optional i32 updateBytes
  13: optional i32 snapshotBytes
  // Set when it differs from the list whose fingerprint the heartbeat named.
  14: optional list<RelayPeerMessage> peers
  15: optional LeaderStampMessage stamp
  // Names of the control members.
  16: optional list<string> members
}

struct TokenDemandMessage {
  1: string organisation
  2: i32 tokens
}

struct TokenRequestMessage {
  1: string instance
  2: i64 incarnation
  3: list<TokenDemandMessage> demands
}

struct TokenGrantMessage {
  1: string organisation
  2: i32 tokens
  3: optional i64 waitMicros
  4: i64 intervalMicros
}

struct TokenResponseMessage {
  1: bool granting
  2: list<TokenGrantMessage> grants
}

service Control {
  HeartbeatAnswerMessage heartbeat(1: HeartbeatMessage message)
  TokenResponseMessage takeTokens(1: TokenRequestMessage request)
}
