"""Decides how long an endpoint may wait for the end of a run before it reports.

An endpoint reports at once when a run ends, so the wait matters only for what changes
without an end: leases, progress, and the tails of replicas beside fillers.  Endpoints
charge for each report, and each takes processor time of the scheduler.

Load patterns: replicas whose tails are far below their bounds beside fillers; a
scheduler that is late, where reports that nobody needs delay the renewal of leases.
"""

#: Wait while nothing asks for less, in seconds.  A start counts as unconfirmed until a
#: report shows it, also at an endpoint without runs, and delays its task if endpoint
#: and scheduler are lost before.
USUAL_WAIT_SECONDS = 1.0
#: Wait while fillers may be slowing replicas, in seconds: measurements cover the last
#: half second.
MEASURED_WAIT_SECONDS = 0.4
#: Headroom above which fillers are not about to slow the replicas beside them: levels
#: fall by less within a busy wait and the time that a pace takes to act.
AMPLE_HEADROOM = 0.4
#: Time after the start of a filler or replica in which measurements do not show its
#: effect, in seconds.
UNSETTLED_SECONDS = 0.8
#: Recent lag of the event loop above which measurements are given up, in seconds.
LATE_SECONDS = 0.15
#: Longest pause before the next request to an endpoint that has reported ends, in
#: seconds.  The ends meanwhile come in one report.
MAX_PAUSE_SECONDS = 0.3


def report_wait(endpoint, lag_seconds, now):
    """Return how long ``endpoint`` may delay its next report, in seconds."""
    if not endpoint.has_reported or endpoint.has_unstored_ends:
        return 0.0
    if endpoint.unreachable_since is not None:
        return 0.0
    if lag_seconds <= LATE_SECONDS and needs_measurement(endpoint, now):
        return MEASURED_WAIT_SECONDS
    return USUAL_WAIT_SECONDS


def needs_measurement(endpoint, now):
    """Return whether fillers of ``endpoint`` may be slowing its replicas."""
    if not (endpoint.replicas and endpoint.fillers):
        return False
    if any(headroom < AMPLE_HEADROOM for _image, headroom in endpoint.spare_headroom):
        return True
    return any(
        (task.step.filler or task.step.replica)
        and now < task.started_at + UNSETTLED_SECONDS
        for task in endpoint.tasks.values()
    )


def pause_after_ends(lag_seconds):
    """Return the wait before the next request after a report with ends, in seconds."""
    return 0.0 if lag_seconds <= LATE_SECONDS else min(lag_seconds, MAX_PAUSE_SECONDS)
