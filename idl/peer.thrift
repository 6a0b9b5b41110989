// Messages between daemons.  Times are seconds since the Unix epoch.
namespace py clementinebay.peer.wire

enum Kind {
  REPLY = 0, ERROR = 1, FORWARD = 2, GOSSIP = 3, SPANS = 4, CONFIG = 5, JOBS = 6,
  STATE = 7, REPORTS = 8,
  REDEEM = 9, LOOK = 10,
}

// The content of one frame.  A reply or error carries the id of its request.
struct Envelope {
  1: i64 id,
  2: Kind kind,
  3: double deadline,
  4: string traceparent = "",
  5: binary payload,
}

struct Forward {
  1: string service_name,
  2: string client,
  3: string request_id,
  4: bool repeatable,
  5: string key = "",
  6: binary body,
  7: i32 hops = 1,
}
struct ForwardReply { 1: i32 status, 2: binary body }
struct Failure { 1: string code, 2: string message }

struct ServiceCapacity { 1: string service_name, 2: i32 replicas, 3: i32 in_flight }

// State that a daemon sends to its peers; the reply is the peer's own Gossip.  Tables of
// services are versioned: `services` are the entries of the sender's table that changed
// after version `base`, with 0 replicas for a removed service; `base` 0 means the whole
// table.  `known` is the version of the receiver's table that the sender has.
struct Gossip {
  1: string daemon,
  2: string domain,
  3: i64 config_revision,
  4: list<ServiceCapacity> services,
  5: bool leaving = 0,
  6: bool leading = 0,
  7: i64 version = 0,
  8: i64 base = 0,
  9: i64 known = 0,
}

struct Attempt { 1: string job, 2: i32 index, 3: i32 attempt }
// The part of an endpoint's report that is new to the shard's scheduler, encoded by
// `endpoint/packing.py`.  `expected` are attempts that are missing from a full report.
struct EndpointReport {
  1: string endpoint, 2: binary report, 3: list<Attempt> expected,
}
struct ReportTaken { 1: bool taken }
// Asks the shard's scheduler to call an endpoint itself.
struct Look { 1: string endpoint }

// Requests the configuration if the peer has a newer one than `revision`; `digests` are
// those of the section texts that the sender has.
struct ConfigQuery { 1: i64 revision, 2: list<string> digests }
// The head, and the section texts, by digest, that the requester does not have.
struct ConfigReply { 1: i64 revision, 2: binary head, 3: map<string, string> texts }

struct SpansQuery { 1: string trace_id }
struct SpansReply { 1: list<string> spans }

// Requests the status of jobs in the peer's domain; an empty list means all jobs.
struct JobsQuery { 1: list<string> names }
struct JobStanding {
  1: string name, 2: string origin, 3: string domain, 4: i32 count, 5: i32 waiting,
  6: i32 bound, 7: i32 running, 8: i32 stopping, 9: i32 parked, 10: i32 done,
  11: bool cancelled, 12: list<string> reasons, 13: string team, 14: bool is_service,
}
struct JobsReply { 1: list<JobStanding> jobs }

// Requests the state that a daemon needs to operate while the platform is unavailable.
struct StateQuery { 1: string domain }
// `snapshot` is empty if the peer is in another domain; `vms` is the live list as JSON.
struct StateReply { 1: binary snapshot, 2: double confirmed_at = 0, 3: binary vms }

// Redeems a ticket issued by the peer for the request with this id, or reverts that.
struct Redeem { 1: string ticket, 2: string request_id, 3: bool release = 0 }
struct RedeemReply {}
