// Messages between entries and control members.
namespace cpp auburnrail.thriftgen

struct DemandMessage {
  1: string organisation
  2: double arrivedPerSecond
  3: double refusedPerSecond
  4: double backlog
}

struct ShareMessage {
  1: string organisation
  2: double rate
  3: double burst
}

struct EndpointMessage {
  1: string endpoint
  2: string group
  3: string zone
  4: string address
  5: map<string, string> labels
  6: i64 connectionLimit
  7: bool leaving
}

struct SuspicionMessage {
  1: string group
  2: i64 term
  3: i64 unreachableMillis // 0: the primary answers.
}

struct BurnBucketMessage {
  1: string service
  2: string organisation
  3: string kind
  4: string reason
  5: i64 bucketStart
  6: i64 good
  7: i64 bad
}

struct HeartbeatMessage {
  1: string instance
  2: i64 incarnation
  3: string zone
  4: i64 appliedRevision
  5: i64 shareSequence
  6: list<DemandMessage> demands
  7: list<ShareMessage> shares
  8: list<EndpointMessage> endpoints
  9: list<SuspicionMessage> suspicions
  10: list<BurnBucketMessage> burn
  11: i64 holdMillis // Longest time the answer may be held back for a newer revision.
  12: i64 shareLeaseMillis // What is left of the lease of `shares`.
}

struct HeartbeatAnswerMessage {
  1: i32 status
  2: string leader
  3: i64 leaseMillis
  4: i64 revision
  5: binary changes
  6: binary snapshot
  7: i64 shareSequence
  8: list<ShareMessage> shares
}

service Control {
  HeartbeatAnswerMessage heartbeat(1: HeartbeatMessage message)
}
