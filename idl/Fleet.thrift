// Fleet state between control members, entries and disk. Only libs/wire converts to and from these
// types. Fields are never renumbered or reused; new ones are optional.
namespace cpp auburnrail.wire

struct Service {
  1: string name
  2: string group
  3: map<string, string> labels
  4: i64 changedAt
  5: i32 connectionLimit
  6: i32 synchronousReplicas
}

struct Organisation {
  1: string name
  2: double ratePerSecond
  3: double burst
  4: double weight
  5: map<string, string> labels
  6: i64 changedAt
}

struct Key {
  1: string id
  2: string organisation
  3: string hash
  4: bool withdrawn
  5: map<string, string> labels
  6: i64 changedAt
}

struct SessionPolicy {
  1: string database
  2: i32 consistency
  3: i64 maxStalenessNanoseconds
  4: i64 statementTimeoutNanoseconds
  5: i64 latencyObjectiveNanoseconds
  6: i64 transactionIdleLimitNanoseconds
  7: i32 priority
  8: i32 maxAttempts
}

struct Route {
  1: string name
  2: string serviceName
  3: string selector
  4: bool open
  5: bool isolatedReads
  6: map<string, string> labels
  7: i64 changedAt
  8: optional SessionPolicy sessions
}

struct Position {
  1: i64 term
  2: i64 index
}

struct EndpointProcess {
  1: string endpoint
  2: i64 startedAt
}

struct TermEvidence {
  1: i64 publishedIn
  2: Position start
  3: list<EndpointProcess> ended
  4: i32 synchronousReplicas
  5: optional Position acknowledged
  6: optional Position lossAcceptedAfter
}

struct Group {
  1: string name
  2: i64 term
  3: i32 phase
  4: string primary
  5: map<string, string> labels
  6: i64 changedAt
  7: i64 primaryStartedAt
  8: optional TermEvidence evidence
  9: bool isAwaitingEvidence
}

struct Endpoint {
  1: string name
  2: string group
  3: string zone
  4: string address
  5: i32 connectionLimit
  6: bool leaving
  7: map<string, string> labels
  8: i64 changedAt
  9: i64 startedAt
}

struct Objective {
  1: string name
  2: i32 kind
  3: string selector
  4: double target
  5: i64 windowNanoseconds
  6: map<string, string> labels
  7: i64 changedAt
}

struct ConfigurationDocument {
  1: string name
  2: i64 version
  3: binary text
  4: map<string, string> labels
  5: i64 changedAt
}

struct Entry {
  1: string name
  2: map<string, string> labels
  3: i64 changedAt
}

struct Zone {
  1: string name
  2: bool evacuated
  3: map<string, string> labels
  4: i64 changedAt
}

union FleetObject {
  1: Service serviceObject
  2: Organisation organisation
  3: Key key
  4: Route route
  5: Group databaseGroup
  6: Endpoint endpoint
  7: Objective objective
  8: ConfigurationDocument document
  9: Entry entry
  10: Zone zone
}

struct FleetChange {
  1: i64 revision
  2: i32 kind
  3: string name
  4: optional FleetObject fleetObject
}

// An update is this header, followed by `changes` FleetChange structs. Long sequences are not Thrift
// lists, because readers allocate a list by its announced size before they read its items.
struct FleetUpdateHeader {
  1: i64 baseRevision
  2: i64 revision
  3: i32 changes
}

struct DeleteObject {
  1: i32 kind
  2: string name
}

struct SetLabel {
  1: i32 kind
  2: string name
  3: string key
  4: string value
}

struct RemoveLabel {
  1: i32 kind
  2: string name
  3: string key
}

struct WithdrawKey {
  1: string key
}

struct GrantTerm {
  1: string groupName
  2: i64 term
}

struct PublishPrimary {
  1: string groupName
  2: i64 term
  3: string endpoint
  4: optional Position start
  5: bool isLossAccepted
}

struct LeaveEndpoint {
  1: string endpoint
}

struct AdoptPrimary {
  1: string groupName
  2: string endpoint
}

// `fleetObjects` are FleetObject structs one after the other, as in a snapshot.
struct ReplaceConfiguration {
  1: ConfigurationDocument document
  2: i32 objectCount
  3: binary fleetObjects
}

struct RecordAcknowledged {
  1: string groupName
  2: i64 term
  3: Position position
}

struct RecordEvidenceWait {
  1: string groupName
  2: i64 term
  3: bool isWaiting
}

union CommandBody {
  1: FleetObject setObject
  2: DeleteObject deleteObject
  3: SetLabel setLabel
  4: RemoveLabel removeLabel
  5: WithdrawKey withdrawKey
  6: GrantTerm grantTerm
  7: PublishPrimary publishPrimary
  8: LeaveEndpoint leaveEndpoint
  9: AdoptPrimary adoptPrimary
  10: ReplaceConfiguration replaceConfiguration
  11: RecordAcknowledged recordAcknowledged
  12: RecordEvidenceWait recordEvidenceWait
}

struct Command {
  1: string commandId
  2: i64 baseRevision
  3: optional i64 expectedRevision
  4: string operatorName
  5: CommandBody body
}

struct CommandResult {
  1: i32 status
  2: string message
  3: i64 revision
  4: optional string winningCommandId
}

struct RememberedCommand {
  1: string commandId
  2: i64 revision
  3: i32 kind
  4: string name
  5: CommandResult result
}

// A snapshot is this header, followed by `fleetObjects` FleetObject structs and `commands`
// RememberedCommand structs.
struct FleetSnapshotHeader {
  1: i64 revision
  2: i64 forgottenRevision
  3: i32 fleetObjects
  4: i32 commands
}
