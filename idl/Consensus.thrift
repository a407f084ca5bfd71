// Messages between control members. Fields may be added with new numbers, never reused.
namespace cpp auburnrail.wire

struct MemberId {
    1: string name
    2: i64 incarnation
}

struct Configuration {
    1: list<MemberId> voters
}

// Values of LogEntry.kind, which is an integer: a received value outside the enumeration would be
// undefined behaviour in the generated type.
enum EntryKind {
    NOOP = 0
    COMMAND = 1
    CONFIGURATION = 2
}

// Also the stored form of a log entry.
struct LogEntry {
    1: i64 term
    2: i32 kind
    3: optional binary payload
    4: optional Configuration configuration
}

// Also the stored form of a snapshot.
struct Snapshot {
    1: i64 index
    2: i64 term
    3: Configuration configuration
    4: binary content
}

struct VoteRequest {
    1: bool preVote
    2: i64 lastIndex
    3: i64 lastTerm
}

struct VoteResponse {
    1: bool preVote
    2: bool granted
}

struct AppendRequest {
    1: i64 previousIndex
    2: i64 previousTerm
    3: i64 commitIndex
    4: i64 sentAtNanos
    5: list<LogEntry> entries
}

struct AppendResponse {
    1: bool accepted
    2: i64 matchIndex
    3: i64 retryFrom
    4: i64 sentAtNanos
}

struct SnapshotRequest {
    1: i64 index
    2: i64 term
    3: Configuration configuration
    4: i64 offset
    5: binary chunk
    6: bool last
    7: i64 sentAtNanos
}

struct SnapshotResponse {
    1: i64 index
    2: i64 nextOffset
    3: i64 sentAtNanos
}

struct JoinRequest {
}

union MessageBody {
    1: VoteRequest voteRequest
    2: VoteResponse voteResponse
    3: AppendRequest appendRequest
    4: AppendResponse appendResponse
    5: SnapshotRequest snapshotRequest
    6: SnapshotResponse snapshotResponse
    7: JoinRequest joinRequest
}

struct Message {
    1: MemberId sender
    2: MemberId receiver
    3: i64 term
    4: MessageBody body
}

service Consensus {
    // One-way, because answers are messages of their own and lost messages are sent again.
    oneway void deliver(1: Message message)
}
