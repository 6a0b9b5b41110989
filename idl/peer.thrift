// Messages between daemons.  Times are seconds since the Unix epoch.
namespace py clementinebay.peer.wire

enum Kind {
  REPLY = 0, ERROR = 1, FORWARD = 2, GOSSIP = 3, SPANS = 4, CONFIG = 5, JOBS = 6,
  STATE = 7, REPORTS = 8,
  REDEEM = 9, LOOK = 10,
}

// One frame.  A reply or error carries the id of the message that it answers.
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

// What a daemon tells its peers; the answer is the peer's own.  A peer's table of
// services has versions: `services` are the entries that changed after version `base`,
// with no replicas for one that is gone; base 0 is the whole table.  `known` is the
// version of the receiver's table that the sender holds.
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
// What is news to the scheduler of the shard in an endpoint's report, packed as
// `endpoint/packing.py` says.  `expected` are attempts that a full report had to mention
// and did not.
struct EndpointReport {
  1: string endpoint, 2: binary report, 3: list<Attempt> expected,
}
struct ReportTaken { 1: bool taken }
// Asks the scheduler of the shard to call an endpoint itself.
struct Look { 1: string endpoint }

// Asks for the configuration if the peer holds a newer one than revision.
struct ConfigQuery { 1: i64 revision, 2: list<string> digests }
// The head, and the texts of its sections by digest that the asker lacks.
struct ConfigReply { 1: i64 revision, 2: binary head, 3: map<string, string> texts }

struct SpansQuery { 1: string trace_id }
struct SpansReply { 1: list<string> spans }

// Asks for the standing of jobs in the peer's domain; no names asks for all.
struct JobsQuery { 1: list<string> names }
struct JobStanding {
  1: string name, 2: string origin, 3: string domain, 4: i32 count, 5: i32 waiting,
  6: i32 bound, 7: i32 running, 8: i32 stopping, 9: i32 parked, 10: i32 done,
  11: bool cancelled, 12: list<string> reasons, 13: string team, 14: bool is_service,
}
struct JobsReply { 1: list<JobStanding> jobs }

// Asks for what a daemon needs to serve while the platform is away.
struct StateQuery { 1: string domain }
// The snapshot is empty if the peer is of another domain; vms is the live list in JSON.
struct StateReply { 1: binary snapshot, 2: double confirmed_at = 0, 3: binary vms }

// Uses a ticket of the peer for the request with this id, or gives the use back.
struct Redeem { 1: string ticket, 2: string request_id, 3: bool release = 0 }
struct RedeemReply {}
