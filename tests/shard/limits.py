"""Sizes and times of the model; times are in seconds."""

DOMAINS = ("a", "b")
CAPACITY_MILLI = 2000
GRACE_SECONDS, LEASE_SECONDS, RECLAIM_SECONDS, SKEW_SECONDS = 3.0, 10.0, 30.0, 0.5
#: Upper bound of changes to an endpoint's attempts between two restarts.
MAX_VERSIONS = 2.0**20
