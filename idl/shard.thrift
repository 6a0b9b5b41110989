// Records of a shard's log and snapshot.  Times are seconds since the Unix epoch.
namespace py clementinebay.shard.wire

enum Workload { SERVICE = 0, BATCH = 1 }
enum Urgency { BATCH = 0, NORMAL = 1, URGENT = 2 }
enum Outcome { DONE = 0, FAILED = 1 }
enum Evidence { STOPPED = 0, EXPIRED = 1 }

struct Resources {
  1: i32 processors_milli = 0,
  2: i32 memory_mb = 0,
  3: i32 accelerators = 0,
}

// A contiguous range of equal tasks; a service is a job of replicas that never finish.
struct JobSpec {
  1: string id,
  2: Workload workload,
  3: string team,
  4: Urgency urgency,
  5: string kind,
  6: i32 first_index = 0,
  7: i32 count = 1,
  8: Resources size,
  9: double run_seconds = 0,
  10: i32 max_attempts = 5,
  11: double submitted_at = 0,
  // The job as its client named it; differs from id for a part moved between domains.
  12: string origin = "",
}

struct Submit { 1: JobSpec spec, 2: string checkpoint = "" }
struct Cancel { 1: string job, 2: double at = 0 }

struct EndpointSeen {
  1: string id,
  2: string address,
  3: string rack,
  4: Resources size,
  5: i32 slots = 8,
  6: i32 connections = 64,
  7: bool leaving = 0,
}
// No lease on the endpoint is renewed past free_at; bindings may be released from then on.
struct EndpointLost { 1: string id, 2: double free_at }

struct Bind {
  1: string job, 2: i32 index, 3: i32 attempt, 4: string endpoint, 5: double lease_deadline,
  6: double at,
}
struct Started { 1: string job, 2: i32 index, 3: i32 attempt }
struct Release { 1: string job, 2: i32 index, 3: i32 attempt, 4: string reason }
struct Released {
  1: string job, 2: i32 index, 3: i32 attempt, 4: Evidence evidence, 5: double at,
  6: string checkpoint = "", 7: bool blame_endpoint = 0,
}
struct Finish {
  1: string job, 2: i32 index, 3: i32 attempt, 4: Outcome outcome, 5: string reason = "",
  6: double at = 0,
}
struct DomainState { 1: bool out, 2: i64 revision }
// Waiting tasks leave this shard.  They stay in its outbox until the target's shard has
// taken them by a Submit of the job `part`, which is unique for each move.
struct Move {
  1: string job, 2: i32 first_index, 3: i32 count, 4: string target, 5: string part,
}
// The target's shard has taken the part; the outbox forgets it.
struct Moved { 1: string part }
// A job that ended long ago is dropped; its id may be used again.
struct Forget { 1: string job }

union Record {
  1: Submit submit,
  2: Cancel cancel,
  3: EndpointSeen endpoint_seen,
  4: EndpointLost endpoint_lost,
  5: Bind bind,
  6: Started started,
  7: Release release,
  8: Released released,
  9: Finish finish,
  10: DomainState domain_state,
  11: Move move,
  12: Moved moved,
  13: Forget forget,
}

struct Batch {
  1: string writer,
  2: string nonce,
  3: double written_at,
  4: list<Record> records,
}

struct TaskImage {
  1: i32 index, 2: i32 attempt, 3: i32 phase, 4: string endpoint = "",
  5: double lease_deadline = 0, 6: string checkpoint = "", 7: i32 failures = 0,
  8: list<string> failed_on, 9: double bound_at = 0, 10: string reason = "",
}
struct JobImage {
  1: JobSpec spec, 2: i32 next_index, 3: i32 done, 4: bool cancelled, 5: list<TaskImage> tasks,
  6: double ended_at = 0,
}
struct OutboxImage { 1: string target, 2: JobSpec spec, 3: string checkpoint = "" }
struct EndpointImage { 1: EndpointSeen seen, 2: double free_at = 0, 3: bool lost = 0 }
struct Snapshot {
  1: i64 index,
  2: list<JobImage> jobs,
  3: list<EndpointImage> endpoints,
  4: bool out = 0,
  5: i64 revision = 0,
  6: list<OutboxImage> outbox,
}
