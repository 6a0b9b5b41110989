"""Sizes and times of the model, in seconds unless named otherwise."""

DOMAINS = ("a", "b")
CAPACITY = 2000
GRACE, LEASE, RECLAIM, SKEW = 3.0, 10.0, 30.0, 0.5
#: Most changes of an endpoint's attempts between two restarts.
VERSIONS_LIMIT = 2.0**20
