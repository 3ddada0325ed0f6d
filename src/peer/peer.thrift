// Messages between hemlockward's own processes. Every call is one request and
// one reply in length-prefixed frames (see peer/transport.h). Fields are only
// added, never renumbered, so that two releases can run side by side.
namespace cpp hemlockward.peer.gen

const i32 PROTOCOL_VERSION = 1

// Shows that the sender is alive, and acknowledges its revision to movers.
struct Heartbeat {
  1: i32 version = PROTOCOL_VERSION,
  2: string sender,
  3: i64 incarnation,
  4: i64 revision,
  5: i64 table_age_ms,          // since the newest table read was sent; -1: never
  6: i64 sent_ms,               // sender's monotonic clock, echoed in the reply
  7: list<string> busy_vms,     // VMs not in state member that still run requests of the sender
  8: bool is_entry,
  9: map<string, i32> demand,   // requests waiting per service at the sender
  10: bool stopping,
  11: i64 membership_number,    // the membership that the sender's slots belong to
  12: list<string> overhang,    // rows with more requests in progress than slots
}

struct HeartbeatReply {
  1: i32 version = PROTOCOL_VERSION,
  2: string sender,
  3: i64 incarnation,
  4: i64 revision,
  5: i64 table_age_ms,
  6: i64 echo_sent_ms,
  7: list<string> busy_vms,
  8: map<string, i32> demand,
  9: bool stopping,
  10: i64 membership_number,
  11: list<string> overhang,
}

// Asks for the records after `from_revision`, or with `wants_snapshot` for all rows.
struct DeltaRequest {
  1: i64 from_revision,
  2: bool wants_snapshot,
}

struct DeltaReply {
  1: i64 revision,
  2: list<binary> records,      // encoded ChangeRecord, in order
  3: map<string, binary> rows,  // a snapshot: every row by its key; otherwise empty
}

// Forwards a client's request to the entry that owns its key.
struct ForwardRequest {
  1: string request_id,
  2: string key,
  3: string service_name,
  4: string request_class,
  5: bool repeatable,
  6: i64 remaining_ms,
  7: binary body,
  8: string content_type,
  9: i64 owner_incarnation,     // refused unless it is the receiver's incarnation
  10: bool respond_async,       // answer 202 once the key is claimed; the outcome is stored
}

struct ForwardReply {
  1: string request_id,
  2: string outcome,            // done | not-run | unknown
  3: i32 status,
  4: string content_type,
  5: binary body,
  6: string reason,
  7: i64 retry_after_ms,
}

// Asks the owner of a key for the outcome of its request, or cancels the request.
struct OutcomeRequest {
  1: string key,
  2: bool cancel,
}

// Moves free slots between entries; the giver removes them from its own count first.
struct SlotRequest {
  1: string requester,
  2: i64 incarnation,
  3: i64 membership_number,
  4: string service_name,
  5: i32 wanted,
  6: map<string, i32> returned,  // slots that the sender gives back, by VM
}

struct SlotReply {
  1: i64 membership_number,
  2: map<string, i32> granted,   // slots that the requester gets, by VM
}

struct Error {
  1: string reason,
}

// Forwards a client's call about jobs to the leader.
struct JobCall {
  1: string method,
  2: string host,
  3: string path,
  4: binary body,
  5: i64 remaining_ms,
  6: i64 config_version,        // newest configuration version that the sender knows
}

struct JobReply {
  1: i32 status,                // 0: the receiver is not the leader and did nothing
  2: binary body,
  3: i64 retry_after_s,
  4: i64 config_version,        // of the receiver
  5: bool may_have_run,         // with status 0: the call may still take effect
}

// Asks a node whether it still leads; the reply has the same type.
struct LeaderCheck {
  1: i64 incarnation,
  2: bool leads,
  3: i64 term,
  4: i64 renewal_age_ms,        // since the sender's newest lease renewal was sent
  5: i64 config_version,
  6: binary config,             // the operator's configuration row, if the receiver's is older
  7: binary lease,              // the newest lease row that the sender knows
  8: string sender,             // `IP:port` on which the sender accepts calls
  9: list<string> peers,        // other nodes that the sender learned of recently
  10: i64 beat_version,         // row version of the leader's newest heartbeat
  // 11 was a list of the nodes that led only as the last choice.
  12: i64 commit_ms,            // typical duration of the leader's commits
  13: map<string, i32> strengths, // of `sender` and `peers`: the strongest leads
  14: i64 operator_rows_age_ms, // the sender knows the operator's rows as of that long ago
}

union Message {
  1: Heartbeat heartbeat,
  2: HeartbeatReply heartbeat_reply,
  3: DeltaRequest delta_request,
  4: DeltaReply delta_reply,
  5: ForwardRequest forward_request,
  6: ForwardReply forward_reply,
  7: OutcomeRequest outcome_request,
  8: SlotRequest slot_request,
  9: SlotReply slot_reply,
  10: Error error,
  11: JobCall job_call,
  12: JobReply job_reply,
  13: LeaderCheck leader_check,
}
