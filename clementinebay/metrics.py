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
PEER_SENT = Counter(
    "clementine_peer_sent_bytes", "Bytes of frames by what was asked.", ["kind"]
)
RECORDS = Counter("clementine_records", "Records written to the shard.", ["kind"])
INVARIANTS_BROKEN = Counter(
    "clementine_invariants_broken", "Assertions inside the program that did not hold."
)
REFUSED = Counter("clementine_records_refused", "Records refused by the state machine.")
TASKS = Gauge("clementine_tasks", "Tasks of the shard by phase.", ["phase"])
EVICTIONS = Counter("clementine_evictions", "Tasks evicted.", ["reason"])
PARKED = Counter("clementine_parked", "Tasks parked.", ["reason"])
HOPELESS = Gauge(
    "clementine_hopeless_jobs", "Jobs here whose waiting tasks fit nowhere."
)
THROTTLED = Gauge("clementine_throttled", "Tasks that are throttled.")
INTERFERENCE = Gauge(
    "clementine_interference",
    "Learned slowdown of a service's kind by one core of a neighbour's kind.",
    ["kind", "neighbour"],
)
BARRED = Gauge("clementine_barred", "Endpoints that take no tasks for failures.")
DECISION_SECONDS = Histogram(
    "clementine_decision_seconds", "Time to decide.", buckets=LATENCY_BUCKETS
)
CONFIG_REVISION = Gauge("clementine_config_revision", "Configuration in force.")
