// Messages between entries. Fields may be added with new numbers, never reused.
namespace cpp auburnrail.thriftgen

struct RelayPositionMessage {
  1: i64 term
  2: i64 index
}

struct RelayOpeningMessage {
  1: string endpoint
  2: string group
  3: string organisation
  4: bool isPrimary
  5: i64 term
  6: i32 priority
  7: i64 objectiveLeftMicros
  8: i64 startLeftMicros
  9: bool opensTransaction
}

struct RelayPreparedMessage {
  1: binary shape
  2: bool writes
}

struct RelayServerRequestMessage {
  1: i32 operation
  2: binary id
  3: binary text
  4: binary name
  5: binary value
  6: bool writes
  7: optional RelayPositionMessage minimumPosition
}

struct RelayLoadMessage {
  1: i32 inFlight
  2: i64 responseMicros
  3: i64 primaryTerm
  4: optional RelayPositionMessage primaryPosition
  5: i64 primaryAgeMicros
}

struct RelayChallengeMessage {
  1: string nonce
}

struct RelayHelloMessage {
  1: string instance
  2: string proof
}

struct RelayRequestMessage {
  1: i64 channel
  2: optional RelayOpeningMessage opening
  3: optional map<binary, binary> values
  4: optional RelayPreparedMessage prepared
  5: RelayServerRequestMessage request
  6: i64 timeLimitMicros
}

struct RelayFailureMessage {
  1: i32 error
  2: binary detail
}

struct RelayResponseMessage {
  1: i64 channel
  2: i32 refusal
  3: i32 phase
  4: binary error
  5: list<binary> rows
  6: binary signature
  7: optional RelayFailureMessage failure
  8: bool completed
  9: i32 state
  10: optional RelayPositionMessage position
  11: RelayLoadMessage load
}

struct RelayEndMessage {
  1: i64 channel
  2: bool reusable
}

struct RelayStatusRequestMessage {
  1: i64 number
  2: string endpoint
}

struct RelayStatusResponseMessage {
  1: i64 number
  2: bool known
  3: RelayPositionMessage position
  4: i64 ageMicros
  5: RelayLoadMessage load
}

struct RelayEmptyMessage {
}

// Exactly one field is set.
struct RelayFrame {
  1: optional RelayChallengeMessage challenge
  2: optional RelayHelloMessage hello
  3: optional RelayRequestMessage request
  4: optional RelayResponseMessage response
  5: optional RelayEndMessage ended
  6: optional RelayStatusRequestMessage statusRequest
  7: optional RelayStatusResponseMessage statusResponse
  8: optional RelayEmptyMessage ping
  9: optional RelayEmptyMessage pong
}
