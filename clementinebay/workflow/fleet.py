"""The scheduler's state of endpoints: their runs, resources, clocks and leases."""

from clementinebay.policy import crashes
from clementinebay.policy.pacing import Pacing
from clementinebay.workflow.orders import MAX_ORDER_DELAY_SECONDS

#: Greatest share by which an endpoint's clock may run slow.
MAX_CLOCK_DRIFT = 0.02
#: Greatest error of comparing two readings of a clock, which are whole milliseconds.
CLOCK_ERROR_MS = 2
#: Time in which an endpoint ends its runs after their lease has expired, in seconds.
EXPIRY_MARGIN_SECONDS = 0.3


class RedundantRun:
    """A run whose task was completed by another run.

    ``owner`` is the organisation of its job.  ``stop_answered_at`` is when the endpoint
    answered the stop order, or 0.
    """

    __slots__ = ("owner", "step", "stop_answered_at")

    def __init__(self, owner, step):
        self.owner = owner
        self.step = step
        self.stop_answered_at = 0.0


class EndpointState:
    """The newest incarnation of an endpoint.

    ``restarts`` counts the restarts in this term.  ``has_reported`` is true once the
    endpoint has reported all its runs and ends to this scheduler; from then on it
    refuses orders of earlier schedulers.  Until then it gets no tasks and no leases.
    ``has_unread_ends`` is true if there may be ends that the last report had no room
    for.  ``has_ended`` is true once the incarnation has certainly ended, with
    all its runs.  The endpoint is not forgotten before ``kept_until``, so that no late
    order grants a lease that is not reckoned with.  ``recorded`` is true if the store
    names the endpoint as in use.  ``has_valid_entry`` is false while its registry entry
    cannot be decoded.

    Ends of runs are numbered: ``last_processed_end`` was processed last, and the
    effects of all up to ``last_acknowledged_end`` are stored.  ``redundant_runs`` has,
    by (task, run), the runs that are being stopped because another run completed their
    task.  ``orphaned_processors``, ``orphaned_memory`` and ``orphaned_accelerators``
    are used by runs that are not the current run of a task, and ``orphans`` has the
    (organisation, step) of each; ``has_unsized_orphans`` is true if there are others of
    unknown size, and ``has_orphaned_runs`` if the last report had any.
    ``unknown_runs`` has the runs of unknown jobs and the time at which each was first
    reported.  ``quotas`` counts the runs by organisation, or is ``None``.

    ``last_readings``, ``local_levels`` and ``spare_headroom`` belong to
    `policy.pressure`.  ``granted_ms`` is the latest lease deadline that any scheduler
    may have sent, on the endpoint's clock; ``clock_ms`` is a reading of that clock,
    asked for at ``clock_asked_at`` and received at ``clock_at`` of the scheduler's
    clock, and ``clock_lead_ms`` the most by which the endpoint's clock may be ahead of
    the scheduler's.  ``is_silent`` is true while the last request for a report has
    failed.

    ``restarted_at`` is when this scheduler learned of the last restart, and
    ``earlier_granted_ms`` the latest lease deadline that may have been sent to earlier
    incarnations, on their clocks; it is infinite if that is unknown.  The leases
    that were found at the first report have ended by ``found_until``, in scheduler
    time.  ``open_jobs`` has the ids of the jobs that may be started while these leases
    outlast the stored limit, or is ``None`` if any job may be; meanwhile ``found_jobs``
    collects the ids of the jobs in reports, or is ``None`` if others may have runs.
    """

    __slots__ = (
        "info",
        "restarts",
        "listed",
        "has_valid_entry",
        "recorded",
        "has_reported",
        "has_unread_ends",
        "has_ended",
        "kept_until",
        "tasks",
        "processors_used",
        "memory_used",
        "accelerators_used",
        "filler_demand",
        "replicas",
        "fillers",
        "replica_images",
        "last_readings",
        "local_levels",
        "spare_headroom",
        "last_acknowledged_end",
        "last_processed_end",
        "granted_ms",
        "clock_ms",
        "clock_asked_at",
        "clock_at",
        "clock_lead_ms",
        "unreachable_since",
        "is_silent",
        "restarted_at",
        "earlier_granted_ms",
        "found_until",
        "open_jobs",
        "found_jobs",
        "health",
        "pacing",
        "unknown_runs",
        "orphaned_processors",
        "orphaned_memory",
        "orphaned_accelerators",
        "has_unsized_orphans",
        "has_orphaned_runs",
        "redundant_runs",
        "orphans",
        "quotas",
    )

    def __init__(self, info, health, quotas=None):
        self.health = health
        self.quotas = quotas
        self.pacing = Pacing()
        self.unknown_runs = {}
        self.tasks = {}
        self.processors_used = 0
        self.memory_used = 0
        self.accelerators_used = 0
        self.filler_demand = 0
        self.replicas = 0
        self.fillers = 0
        self.replica_images = {}
        self.last_readings = None
        self.local_levels = {}
        self.spare_headroom = ()
        self.restarts = 0
        self.restarted_at = float("-inf")
        self.earlier_granted_ms = 0
        self.kept_until = 0.0
        self.listed = True
        self.recorded = False
        self.reset(info)

    def restart(self, info, now):
        """Replace the endpoint by its next incarnation under the same id."""
        self.restarts += 1
        self.restarted_at = now
        self.close_leases()
        self.reset(info)

    def close_leases(self):
        """Record that the incarnation holds no lease any more.

        The next one may still receive the deadlines that were sent to it.
        """
        granted_ms = float("inf") if self.clock_ms is None else self.granted_ms
        self.earlier_granted_ms = max(self.earlier_granted_ms, granted_ms)
        self.granted_ms = 0

    def fence(self, term_fence):
        """Return the fence for orders to this incarnation under ``term_fence``.

        A restarted endpoint has lost its fence and its stops, so orders to its earlier
        incarnation, which may arrive late, must have a lower fence.  Every incarnation
        writes its entry to the store, and the fences of terms are revisions of the
        store, so the fence of the next term is still higher.
        """
        return term_fence + self.restarts

    def reset(self, info):
        """Reset the state for an incarnation that has no runs and no leases yet."""
        self.info = info
        self.has_valid_entry = True
        self.has_reported = False
        self.has_unread_ends = False
        self.has_ended = False
        self.unknown_runs = {}
        self.redundant_runs = {}
        self.set_orphaned((), False)
        self.last_acknowledged_end = 0
        self.last_processed_end = 0
        self.granted_ms = 0
        self.clock_ms = None
        self.clock_asked_at = 0.0
        self.clock_at = 0.0
        self.clock_lead_ms = float("inf")
        self.unreachable_since = None
        self.is_silent = False
        self.found_until = float("-inf")
        self.open_jobs = None
        self.found_jobs = set()

    @property
    def id(self):
        """The endpoint's id."""
        return self.info.id

    @property
    def incarnation(self):
        """The name of the incarnation, unique among all endpoints."""
        return f"{self.info.id}/{self.info.born_ms}"

    @property
    def domain(self):
        """The endpoint's failure domain."""
        return self.info.failure_domain

    @property
    def load(self):
        """The share of the processors claimed by all tasks, fillers included."""
        claimed = self.processors_used + self.filler_demand
        return round(claimed / max(1, self.info.processors_milli), 2)

    @property
    def has_orphans(self):
        """Whether there are runs that are not the current run of a task."""
        return self.has_orphaned_runs or bool(self.redundant_runs)

    @property
    def has_unstored_ends(self):
        """Whether the store does not reflect all reported ends of runs yet."""
        return self.last_processed_end > self.last_acknowledged_end

    def filler_tasks(self):
        """Return the fillers assigned to the endpoint."""
        return [task for task in self.tasks.values() if task.step.filler]

    def replica_tasks(self):
        """Return the replicas assigned to the endpoint."""
        return [task for task in self.tasks.values() if task.step.replica]

    def image_by_replica_job(self):
        """Return the images of the endpoint's replicas, by job id."""
        return {task.job.id: task.step.image for task in self.replica_tasks()}

    def add(self, task):
        """Reserve the resources of ``task``."""
        self.tasks[task.name] = task
        self.reserve(task.step, 1)
        if self.quotas is not None:
            self.quotas.reserve(task, 1)

    def remove(self, task):
        """Release the resources of ``task``."""
        if self.tasks.pop(task.name, None) is not None:
            self.reserve(task.step, -1)
            if self.quotas is not None:
                self.quotas.reserve(task, -1)

    def reserve(self, step, sign):
        """Reserve (``sign`` 1) or release (-1) the resources of a task of ``step``."""
        self.memory_used += sign * step.memory_mb
        self.accelerators_used += sign * step.accelerators
        if step.filler:
            self.filler_demand += sign * step.processors_milli
            self.fillers += sign
        else:
            self.processors_used += sign * step.processors_milli
        if step.replica:
            self.replicas += sign
            adjust_count(self.replica_images, step.image, sign)

    def set_orphaned(self, orphans, has_unsized):
        """Set the resources of orphaned runs, which are being stopped.

        An orphaned run is not the current run of any task.  ``orphans`` has the
        (organisation, step) of each, ``has_unsized`` is true if there are others whose
        step is unknown.
        """
        self.orphans = list(orphans)
        steps = [step for _owner, step in self.orphans]
        self.orphaned_processors = sum(
            step.processors_milli for step in steps if not step.filler
        )
        self.orphaned_memory = sum(step.memory_mb for step in steps)
        self.orphaned_accelerators = sum(step.accelerators for step in steps)
        self.has_unsized_orphans = has_unsized
        self.has_orphaned_runs = has_unsized or bool(steps)

    def add_redundant_run(self, task):
        """Reserve the resources of a redundant run until it has certainly ended."""
        owner = task.job.spec.organisation
        self.redundant_runs[task.name, task.run] = RedundantRun(owner, task.step)
        self.orphans.append((owner, task.step))
        if not task.step.filler:
            self.orphaned_processors += task.step.processors_milli
        self.orphaned_memory += task.step.memory_mb
        self.orphaned_accelerators += task.step.accelerators

    def pending_redundant_runs(self, listed, sent_at):
        """Return the (organisation, step) of redundant runs that may still be started.

        ``listed`` has the runs in a report requested at ``sent_at``.  A run that is not
        listed has ended if its stop order was answered before the request; otherwise
        its start order may still be in transit.
        """
        pending = []
        for key, redundant in list(self.redundant_runs.items()):
            if key in listed:
                continue
            if redundant.stop_answered_at and redundant.stop_answered_at < sent_at:
                del self.redundant_runs[key]
            else:
                pending.append((redundant.owner, redundant.step))
        return pending

    def admits(self, job):
        """Return whether tasks of ``job`` may be started here, by the stored leases."""
        return self.open_jobs is None or job.id in self.open_jobs

    def fits(self, step):
        """Return whether the endpoint has capacity for another task of ``step``."""
        info = self.info
        if self.has_unsized_orphans:
            return False
        memory = self.memory_used + self.orphaned_memory + step.memory_mb
        accelerators = self.accelerators_used + self.orphaned_accelerators
        if memory > info.memory_mb:
            return False
        if accelerators + step.accelerators > info.accelerators:
            return False
        if step.filler:
            return True
        processors = self.processors_used + self.orphaned_processors
        return processors + step.processors_milli <= info.processors_milli

    def fits_beside_replicas(self, step):
        """Return whether a task of ``step`` fits once all but replicas have ended."""
        info = self.info
        steps = [step, *(task.step for task in self.replica_tasks())]
        return (
            sum(s.memory_mb for s in steps) <= info.memory_mb
            and sum(s.accelerators for s in steps) <= info.accelerators
            and sum(s.processors_milli for s in steps if not s.filler)
            <= info.processors_milli
        )

    # Clock and lease

    def read_clock(self, clock_ms, sent_at, received_at):
        """Store a reading of the endpoint's clock, made after ``sent_at``."""
        self.clock_ms = clock_ms
        self.clock_asked_at = sent_at
        self.clock_at = received_at
        self.clock_lead_ms = min(self.clock_lead_ms, clock_ms - sent_at * 1000)

    def earliest_clock(self, now):
        """Return the lowest possible endpoint clock at ``now``, in milliseconds."""
        return self.clock_ms + (now - self.clock_at) * 1000 * (1 - MAX_CLOCK_DRIFT)

    def latest_clock(self, at):
        """Return the highest possible endpoint clock at ``at``, in milliseconds."""
        return self.clock_lead_ms + at * 1000

    def may_show(self, clock_ms, sent_at, received_at):
        """Return whether the endpoint's clock may have shown ``clock_ms``.

        The clock was read between ``sent_at`` and ``received_at``.  A reading that it
        cannot have shown is that of another incarnation, whose clock begins anew.
        """
        if sent_at >= self.clock_at:
            earliest = self.earliest_clock(sent_at)
        else:
            earliest = self.clock_ms - (self.clock_at - sent_at) * 1000
        latest = self.clock_ms + (received_at - self.clock_asked_at) * 1000
        return earliest - CLOCK_ERROR_MS <= clock_ms <= latest + CLOCK_ERROR_MS

    def time_of_clock(self, clock_ms, now):
        """Return by when the endpoint's clock has certainly reached ``clock_ms``."""
        left = max(0.0, clock_ms - self.earliest_clock(now)) / 1000
        return now + left / (1 - MAX_CLOCK_DRIFT)

    def has_proved_sound(self, at):
        """Return whether the incarnation had lived long enough at ``at``.

        The clock of an endpoint begins anew with each incarnation.
        """
        if self.clock_ms is None:
            return False
        return crashes.is_sound(self.earliest_clock(at) / 1000)

    def mark_silent(self, now):
        """Record that a request for a report has failed."""
        self.is_silent = True
        if self.unreachable_since is None:
            self.unreachable_since = now

    def extend(self, now, seconds):
        """Return the lease deadline to send with a request for a report, or ``None``.

        An endpoint that does not answer may have restarted.  A deadline on its earlier
        clock would grant the next incarnation the longest lease that it accepts.
        """
        if self.clock_ms is None or not self.listed or seconds <= 0:
            return None
        if self.has_unread_ends and not self.has_reported:
            return None
        if self.unreachable_since is not None:
            return None
        return self.grant(now, seconds)

    def grant(self, now, seconds):
        """Return a lease deadline ``seconds`` ahead, in ms of the endpoint's clock."""
        deadline = int(self.earliest_clock(now) + seconds * 1000)
        self.granted_ms = max(self.granted_ms, deadline)
        self.kept_until = now + MAX_ORDER_DELAY_SECONDS
        return deadline

    def leases_expire_at(self):
        """Return when all granted leases have certainly expired, in scheduler time."""
        if self.clock_ms is None or not self.granted_ms:
            return 0.0
        left = max(0, self.granted_ms - self.clock_ms) / 1000
        return self.clock_at + longest_lease(left)


def longest_lease(seconds):
    """Return the time after which runs with a lease of ``seconds`` have ended."""
    return seconds / (1 - MAX_CLOCK_DRIFT) + EXPIRY_MARGIN_SECONDS


def adjust_count(counts, image, sign):
    """Add ``sign`` to the count of ``image``; a count of 0 has no entry."""
    counts[image] = counts.get(image, 0) + sign
    if not counts[image]:
        del counts[image]
