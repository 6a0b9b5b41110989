"""Prometheus metrics of the daemon."""

from prometheus_client import Counter, Gauge, Histogram

#: Upper bounds of latency buckets, in seconds.
LATENCY_BUCKETS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)

PLATFORM_CALLS = Counter(
    "clementine_platform_calls", "Calls to the platform.", ["kind"]
)
PLATFORM_REFUSED = Counter(
    "clementine_platform_refused",
    "Calls refused because they exceed this daemon's share of the rate limit.",
    ["kind"],
)
PLATFORM_SHARE = Gauge(
    "clementine_platform_share",
    "This daemon's share of the rate limit, in calls per second.",
    ["kind"],
)
BACKGROUND_FAILURES = Counter(
    "clementine_background_failures",
    "Failures of background loops, which are restarted.",
    ["service", "loop", "error"],
)
PLATFORM_WATCHES = Gauge("clementine_platform_watches", "Open watches on the platform.")
REQUESTS = Counter("clementine_requests", "Client requests by outcome.", ["outcome"])
REQUEST_SECONDS = Histogram(
    "clementine_request_seconds", "Time to answer a request.", buckets=LATENCY_BUCKETS
)
REFUSALS = Counter(
    "clementine_refusals", "Failed client requests by error code.", ["code"]
)
QUEUE_LENGTH = Gauge("clementine_queue_length", "Requests waiting for a replica.")
RETRIES = Counter("clementine_retries", "Retries after failed attempts.")
HEDGES = Counter(
    "clementine_hedges", "Hedged requests: second copies of slow requests."
)
EJECTIONS = Counter("clementine_ejections", "Ejections of failing endpoints.")
FORWARDS = Counter("clementine_forwards", "Requests forwarded to peers.")
PEER_BYTES = Counter(
    "clementine_peer_bytes",
    "Bytes of frames on peer links by direction.",
    ["direction"],
)
PEER_SENT_BYTES = Counter(
    "clementine_peer_sent_bytes", "Bytes of sent frames by kind of message.", ["kind"]
)
RECORDS = Counter("clementine_records", "Records written to the shard.", ["kind"])
INVARIANTS_BROKEN = Counter(
    "clementine_invariants_broken", "Failed internal invariant checks."
)
RECORDS_REFUSED = Counter(
    "clementine_records_refused", "Records refused by the state machine."
)
TASKS = Gauge("clementine_tasks", "Tasks of the shard by phase.", ["phase"])
EVICTIONS = Counter("clementine_evictions", "Tasks evicted.", ["reason"])
PARKED = Counter("clementine_parked", "Tasks parked.", ["reason"])
UNPLACEABLE_JOBS = Gauge(
    "clementine_hopeless_jobs",
    "Jobs of this domain whose waiting tasks fit on no endpoint.",
)
THROTTLED_TASKS = Gauge("clementine_throttled", "Throttled tasks.")
INTERFERENCE = Gauge(
    "clementine_interference",
    "Estimated slowdown of a kind of service per core used by a kind of neighbour.",
    ["kind", "neighbour"],
)
BARRED_ENDPOINTS = Gauge(
    "clementine_barred", "Endpoints excluded because tasks fail there."
)
DECISION_SECONDS = Histogram(
    "clementine_decision_seconds",
    "Time of one scheduling decision.",
    buckets=LATENCY_BUCKETS,
)
CONFIG_REVISION = Gauge(
    "clementine_config_revision", "Revision of the configuration in force."
)

# Workflow jobs

JOB_REQUESTS = Counter(
    "clementine_job_requests",
    "Clients' requests concerning jobs by method and response status.",
    ["method", "status"],
)
CONNECTIONS_CLOSED = Counter(
    "clementine_connections_closed",
    "Clients' connections closed because too much was held for them, by cause.",
    ["cause"],
)
RELAYED_REQUESTS = Counter(
    "clementine_relayed_requests",
    "Requests relayed to the scheduler's daemon by outcome.",
    ["outcome"],
)
JOB_REQUEST_SECONDS = Histogram(
    "clementine_job_request_seconds",
    "Time from a complete request to its response.",
    ["method"],
    buckets=LATENCY_BUCKETS,
)
FIRST_START_SECONDS = Histogram(
    "clementine_first_start_seconds",
    "Time from the acceptance of a job to the start order for its first task.",
    buckets=LATENCY_BUCKETS,
)
DUE_SECONDS = Histogram(
    "clementine_due_seconds",
    "Time for which a task was due when its start was decided.",
    buckets=LATENCY_BUCKETS,
)
DUE_TASKS = Gauge(
    "clementine_due_tasks", "Due tasks that wait for their start; sampled."
)
ORGANISATION_USE = Gauge(
    "clementine_organisation_use_ratio",
    "Greatest share of a limit in use, of the organisations nearest to their limits.",
    ["organisation"],
)
OLDEST_DUE_SECONDS = Gauge(
    "clementine_oldest_due_seconds",
    "Time for which the longest-waiting task has been due; sampled.",
)
BACKLOG_SECONDS = Gauge(
    "clementine_backlog_seconds",
    "Time that it takes to start all tasks that are due; 0 if they do not wait.",
)
LOOP_LAG_SECONDS = Histogram(
    "clementine_loop_lag_seconds",
    "Delay of timers of the scheduler's event loop.",
    buckets=LATENCY_BUCKETS,
)
PLAN_SECONDS = Histogram(
    "clementine_plan_seconds",
    "Time of one plan of the scheduler.",
    buckets=LATENCY_BUCKETS,
)
STORE_CALLS = Counter(
    "clementine_store_calls",
    "Calls to the store by kind and result.",
    ["kind", "result"],
)
STORE_SECONDS = Histogram(
    "clementine_store_seconds",
    "Latency of answered calls to the store, except watches.",
    ["kind"],
    buckets=LATENCY_BUCKETS,
)
ORDERS = Counter(
    "clementine_orders", "Orders to endpoints by kind and outcome.", ["kind", "outcome"]
)
ORDER_SECONDS = Histogram(
    "clementine_order_seconds",
    "Time until a start order was answered or abandoned.",
    buckets=LATENCY_BUCKETS,
)
RUN_ENDS = Counter(
    "clementine_run_ends",
    "Runs whose end was reported by their endpoint, by outcome.",
    ["outcome"],
)
RUNS_LOST = Counter(
    "clementine_runs_lost",
    "Runs abandoned without a reported end, by cause.",
    ["cause"],
)
REPLICAS_MOVED = Counter(
    "clementine_replicas_moved",
    "Runs of replicas stopped to move them away from endpoints that leave.",
)
TASKS_GIVEN_UP = Counter(
    "clementine_tasks_given_up",
    "Tasks given up because endpoints crashed under them.",
)
JOBS_ENDED = Counter("clementine_jobs_ended", "Ended jobs by final state.", ["state"])
ACTIVE_JOBS = Gauge(
    "clementine_active_jobs", "Active jobs; 0 if this daemon is not the scheduler."
)
SCHEDULING = Gauge("clementine_scheduling", "Whether this daemon is the scheduler.")
TERMS = Counter("clementine_terms", "Scheduler terms started by this daemon.")
LOG_LINES_LEFT_OUT = Counter(
    "clementine_log_lines_left_out", "Log lines dropped by rate limits or slow readers."
)
