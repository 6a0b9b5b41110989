"""Metrics of the daemon, kept by prometheus_client."""

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
    "clementine_platform_refused", "Calls over this daemon's share.", ["kind"]
)
PLATFORM_SHARE = Gauge(
    "clementine_platform_share", "Calls a second that are this daemon's.", ["kind"]
)
BACKGROUND_FAILURES = Counter(
    "clementine_background_failures",
    "Loops that failed and were begun again.",
    ["service", "loop", "error"],
)
PLATFORM_WATCHES = Gauge("clementine_platform_watches", "Watches that wait.")
REQUESTS = Counter("clementine_requests", "Client requests by outcome.", ["outcome"])
REQUEST_SECONDS = Histogram(
    "clementine_request_seconds", "Time to answer a request.", buckets=LATENCY_BUCKETS
)
REFUSALS = Counter("clementine_refusals", "Requests without answer by code.", ["code"])
QUEUE_LENGTH = Gauge("clementine_queue_length", "Requests that wait for a replica.")
RETRIES = Counter("clementine_retries", "Further attempts after a failed one.")
HEDGES = Counter("clementine_hedges", "Copies of requests that took long.")
EJECTIONS = Counter("clementine_ejections", "Endpoints passed over as failing.")
FORWARDS = Counter("clementine_forwards", "Requests forwarded to peers.")
PEER_BYTES = Counter("clementine_peer_bytes", "Bytes of frames.", ["direction"])
PEER_SENT_BYTES = Counter(
    "clementine_peer_sent_bytes", "Bytes of frames by what was asked.", ["kind"]
)
RECORDS = Counter("clementine_records", "Records written to the shard.", ["kind"])
INVARIANTS_BROKEN = Counter(
    "clementine_invariants_broken", "Assertions inside the program that did not hold."
)
RECORDS_REFUSED = Counter(
    "clementine_records_refused", "Records refused by the state machine."
)
TASKS = Gauge("clementine_tasks", "Tasks of the shard by phase.", ["phase"])
EVICTIONS = Counter("clementine_evictions", "Tasks evicted.", ["reason"])
PARKED = Counter("clementine_parked", "Tasks parked.", ["reason"])
UNPLACEABLE_JOBS = Gauge(
    "clementine_hopeless_jobs", "Jobs here whose waiting tasks fit nowhere."
)
THROTTLED_TASKS = Gauge("clementine_throttled", "Tasks that are throttled.")
INTERFERENCE = Gauge(
    "clementine_interference",
    "Learned slowdown of a service's kind by one core of a neighbour's kind.",
    ["kind", "neighbour"],
)
BARRED_ENDPOINTS = Gauge(
    "clementine_barred", "Endpoints that take no tasks for failures."
)
DECISION_SECONDS = Histogram(
    "clementine_decision_seconds", "Time to decide.", buckets=LATENCY_BUCKETS
)
CONFIG_REVISION = Gauge("clementine_config_revision", "Configuration in force.")

# Jobs of steps

JOB_REQUESTS = Counter(
    "clementine_job_requests",
    "Clients' requests concerning jobs, by method and status of the answer.",
    ["method", "status"],
)
RELAYED_REQUESTS = Counter(
    "clementine_relayed_requests",
    "Requests passed on to the scheduler's daemon, by outcome.",
    ["outcome"],
)
JOB_REQUEST_SECONDS = Histogram(
    "clementine_job_request_seconds",
    "Time from a client's whole request to its answer.",
    ["method"],
    buckets=LATENCY_BUCKETS,
)
FIRST_START_SECONDS = Histogram(
    "clementine_first_start_seconds",
    "Time from a job's acceptance to the order for its first task.",
    buckets=LATENCY_BUCKETS,
)
STORE_CALLS = Counter(
    "clementine_store_calls",
    "Calls of the store by kind and result.",
    ["kind", "result"],
)
STORE_SECONDS = Histogram(
    "clementine_store_seconds",
    "Time of answered calls of the store; watches are left out.",
    ["kind"],
    buckets=LATENCY_BUCKETS,
)
ORDERS = Counter(
    "clementine_orders", "Orders to endpoints by kind and outcome.", ["kind", "outcome"]
)
ORDER_SECONDS = Histogram(
    "clementine_order_seconds",
    "Time until an order to start was answered, or given up.",
    buckets=LATENCY_BUCKETS,
)
RUN_ENDS = Counter(
    "clementine_run_ends", "Runs that their endpoints ended, by outcome.", ["outcome"]
)
RUNS_LOST = Counter(
    "clementine_runs_lost", "Runs that were given up without an end.", ["cause"]
)
JOBS_ENDED = Counter("clementine_jobs_ended", "Jobs that ended, by state.", ["state"])
ACTIVE_JOBS = Gauge("clementine_active_jobs", "Jobs at work; 0 without the term.")
SCHEDULING = Gauge("clementine_scheduling", "Whether this daemon holds the term.")
TERMS = Counter("clementine_terms", "Terms that this daemon began.")
LOG_LINES_LEFT_OUT = Counter(
    "clementine_log_lines_left_out", "Log lines over a limit, or not taken by a reader."
)
