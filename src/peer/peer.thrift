// Messages between hemlockward's own processes. Every call is one request and
// one reply in a length-prefixed frame (see peer/transport.h). Fields are only
// added, never renumbered, so that two releases run side by side.
namespace cpp hemlockward.peer.gen

const i32 PROTOCOL_VERSION = 1

// Liveness, the sender's view of the change log, and its acknowledgement for movers.
struct Heartbeat {
  1: i32 version = PROTOCOL_VERSION,
  2: string sender,
  3: i64 incarnation,
  4: i64 revision,
  5: i64 table_age_ms,          // since the newest table read was sent; -1 = never
  6: i64 sent_ms,               // sender's monotonic clock, echoed in the reply
  7: list<string> busy_vms,     // VMs not in state member that still have work of the sender
  8: bool is_entry,
  9: map<string, i32> demand,   // requests waiting per service at the sender
  10: bool stopping,
  11: i64 membership_number,    // the one that the sender's slot tokens belong to
  12: list<string> overhang,    // rows with more requests in progress than tokens
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

// Asks for the records after `from_revision`; `wants_snapshot` asks for the whole view.
struct DeltaRequest {
  1: i64 from_revision,
  2: bool wants_snapshot,
}

struct DeltaReply {
  1: i64 revision,
  2: list<binary> records,      // encoded ChangeRecord, in order
  3: map<string, binary> rows,  // with a snapshot: every row by key
}

// Passes a caller's request to the entry that owns its key.
struct ForwardRequest {
  1: string request_id,
  2: string key,
  3: string service_name,
  4: string request_class,
  5: bool repeatable,
  6: i64 remaining_ms,
  7: binary body,
  8: string content_type,
  9: i64 owner_incarnation,     // refused when it isn't the receiver's
  10: bool respond_async,       // answered 202 once claimed; the outcome is stored
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

// Asks the owner of a key what became of it, or cancels it.
struct OutcomeRequest {
  1: string key,
  2: bool cancel,
}

// Moves free slots of a worker between entries; the giver forgets them first.
struct SlotRequest {
  1: string requester,
  2: i64 incarnation,
  3: i64 membership_number,
  4: string service_name,
  5: i32 wanted,
  6: map<string, i32> returned,  // slots given back by the sender, per VM
}

struct SlotReply {
  1: i64 membership_number,
  2: map<string, i32> granted,   // slots given to the requester, per VM
}

struct Error {
  1: string reason,
}

// Passes a client's call on jobs to the node that leads.
struct JobCall {
  1: string method,
  2: string host,
  3: string path,
  4: binary body,
  5: i64 remaining_ms,
  6: i64 config_version,        // newest configuration of the sender
}

struct JobReply {
  1: i32 status,                // 0: the receiver doesn't lead and did nothing
  2: binary body,
  3: i64 retry_after_s,
  4: i64 config_version,
  5: bool may_have_run,         // with status 0: the call may take effect
}

// Asks a node whether it still leads; the reply goes back in the same form.
struct LeaderCheck {
  1: i64 incarnation,
  2: bool leads,
  3: i64 term,
  4: i64 renewal_age_ms,        // since its newest lease renewal was sent
  5: i64 config_version,
  6: binary config,             // the operator's row, when the other's is older
  7: binary lease,              // the newest lease row known
  8: string sender,             // `IP:port` for peers' calls
  9: list<string> peers,        // other nodes heard of lately
  10: i64 beat_version,         // of a leader's newest renewal
  11: list<string> small,       // of `sender` and `peers`, those that lead last
  12: i64 commit_ms,            // what a leader's commits usually take
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
