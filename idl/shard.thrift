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

// A contiguous range of identical tasks; a service is a job whose tasks, its replicas,
// never finish.
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
  // The job's id as submitted; differs from `id` for a part moved between domains.
  12: string origin = "",
}

// `source` is the domain whose outbox contains the part, if it was moved.
struct Submit { 1: JobSpec spec, 2: string checkpoint = "", 3: string source = "" }
// Cancels one part, or all parts of `origins`, including those that arrive later.
struct Cancel { 1: string job = "", 2: double at = 0, 3: list<string> origins = [] }

struct EndpointSeen {
  1: string id,
  2: string address,
  3: string rack,
  4: Resources size,
  5: i32 slots = 8,
  6: i32 connections = 64,
  7: bool leaving = 0,
}
// The first record bars the endpoint.  The second one, whose writer has read the first at
// index `barred`, sets the time at which the last lease granted before the bar expires.
struct EndpointLost { 1: string id, 2: double free_at = 0, 3: i64 barred = 0, 4: double at = 0 }

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
// Moves waiting tasks out of this shard.  They stay in its outbox until the target's shard
// has added them by a Submit of the job `part`, an id unique to each move.
struct Move {
  1: string job, 2: i32 first_index, 3: i32 count, 4: string target, 5: string part,
  6: double at = 0,
}
// The target's shard has added the part, which is removed from the outbox.
struct Moved { 1: string part }
// The endpoint confirmed the end of an attempt that was released as expired.
struct Cleared { 1: string endpoint, 2: string job, 3: i32 index, 4: i32 attempt }
// Removes jobs that ended long ago, lost endpoints, and old cancellations of origins.
struct Forget {
  1: string job = "", 2: list<string> jobs = [], 3: list<string> endpoints = [],
  4: list<string> origins = [],
}

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
  14: Cleared cleared,
}

struct Batch {
  1: string writer,
  2: string nonce,
  3: double written_at,
  4: list<Record> records,
  // Readers that support only lower formats must not apply or skip this batch.
  5: i32 format = 1,
}

struct TaskImage {
  1: i32 index, 2: i32 attempt, 3: i32 phase, 4: string endpoint = "",
  5: double lease_deadline = 0, 6: string checkpoint = "", 7: i32 failures = 0,
  8: list<string> failed_on, 9: double bound_at = 0, 10: string reason = "",
}
struct JobImage {
  1: JobSpec spec, 2: i32 next_index, 3: i32 done, 4: bool cancelled, 5: list<TaskImage> tasks,
  6: double ended_at = 0, 7: string source = "",
}
struct OutboxImage { 1: string target, 2: JobSpec spec, 3: string checkpoint = "" }
struct AttemptImage { 1: string job, 2: i32 index, 3: i32 attempt, 4: Resources size }
struct EndpointImage {
  1: EndpointSeen seen, 2: double free_at = 0, 3: bool lost = 0, 4: i64 barred = 0,
  5: list<AttemptImage> unconfirmed = [], 6: bool shrunk = 0, 7: double lost_at = 0,
}
struct CancelledImage { 1: string origin, 2: double at }
struct Snapshot {
  1: i64 index,
  2: list<JobImage> jobs,
  3: list<EndpointImage> endpoints,
  4: bool out = 0,
  5: i64 revision = 0,
  6: list<OutboxImage> outbox,
  7: list<CancelledImage> cancelled = [],
  8: i32 format = 1,
}
