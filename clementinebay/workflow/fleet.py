"""Endpoints as the scheduler sees them: what runs there, their clock and lease."""

from clementinebay.policy.pacing import Pacing

#: How much slower than true an endpoint's clock may run, as a share.
CLOCK_SLOWNESS = 0.02
#: Time in which an endpoint ends what lost its lease, in seconds.
LAPSE_MARGIN_SECONDS = 0.3


class Needless:
    """A run whose task another run has done; its stop was answered at ``barred_at``."""

    __slots__ = ("step", "barred_at")

    def __init__(self, step):
        self.step = step
        self.barred_at = 0.0


class EndpointState:
    """An endpoint in its newest life.

    ``lives`` counts the restarts in this term.  ``settled`` tells that the endpoint has
    answered this scheduler, so that older schedulers' orders are refused there;
    ``recorded`` that the store names it as in use.  ``acknowledged`` is the number of
    the last end whose effect is stored, ``noted`` the last that was processed.
    ``needless`` has the runs by (task, run) that are being stopped unneeded.
    ``last_readings``, ``local_levels`` and ``spare_headroom`` belong to
    `policy.pressure`. ``granted_ms`` is the latest lease deadline, on the endpoint's
    clock, that was ever sent; ``clock_ms`` was read at ``clock_at`` of the scheduler's
    clock.
    """

    __slots__ = (
        "info",
        "lives",
        "listed",
        "recorded",
        "settled",
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
        "acknowledged",
        "noted",
        "granted_ms",
        "clock_ms",
        "clock_at",
        "failing_since",
        "health",
        "pacing",
        "strays",
        "unplaced_processors",
        "unplaced_memory",
        "unplaced_accelerators",
        "unmeasured",
        "needless",
    )

    def __init__(self, info, health):
        self.health = health
        self.pacing = Pacing()
        self.strays = {}
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
        self.lives = 0
        self.listed = True
        self.recorded = False
        self.reset(info)

    def begin_life(self, info):
        """Go on with a new life of the endpoint under the same id."""
        self.lives += 1
        self.reset(info)

    def fence(self, term_fence):
        """Return the fence for orders to this life in the term of ``term_fence``.

        A new life has forgotten fences and stops, so orders to the life before, which
        may come late, must have a lower fence.  Each life writes its entry to the
        store, whose revisions are the fences of terms: the next term has a higher one.
        """
        return term_fence + self.lives

    def reset(self, info):
        """Begin with a life of the endpoint, which knows of nothing before."""
        self.info = info
        self.settled = False
        self.strays = {}
        self.needless = {}
        self.count_unplaced((), False)
        self.acknowledged = 0
        self.noted = 0
        self.granted_ms = 0
        self.clock_ms = None
        self.clock_at = 0.0
        self.failing_since = None

    @property
    def id(self):
        """The endpoint's id."""
        return self.info.id

    @property
    def domain(self):
        """The endpoint's failure domain."""
        return self.info.failure_domain

    @property
    def load(self):
        """The share of the processors that is claimed, fillers included."""
        claimed = self.processors_used + self.filler_demand
        return round(claimed / max(1, self.info.processors_milli), 2)

    def filler_tasks(self):
        """Return the fillers that have a run here."""
        return [task for task in self.tasks.values() if task.step.filler]

    def replica_tasks(self):
        """Return the replicas that have a run here."""
        return [task for task in self.tasks.values() if task.step.replica]

    def image_by_replica_job(self):
        """Return the images of the replicas here by their job's id."""
        return {task.job.id: task.step.image for task in self.replica_tasks()}

    def add(self, task):
        """Reserve the resources of ``task``."""
        self.tasks[task.name] = task
        self.reserve(task.step, 1)

    def remove(self, task):
        """Release the resources of ``task``."""
        if self.tasks.pop(task.name, None) is not None:
            self.reserve(task.step, -1)

    def reserve(self, step, sign):
        """Add or take away the resources of one task of ``step``."""
        self.memory_used += sign * step.memory_mb
        self.accelerators_used += sign * step.accelerators
        if step.filler:
            self.filler_demand += sign * step.processors_milli
            self.fillers += sign
        else:
            self.processors_used += sign * step.processors_milli
        if step.replica:
            self.replicas += sign
            count(self.replica_images, step.image, sign)

    def count_unplaced(self, steps, unmeasured):
        """Count the runs here that are no task's current run: they are being stopped.

        ``steps`` are theirs; ``unmeasured`` tells of some whose size is not known.
        """
        self.unplaced_processors = sum(
            step.processors_milli for step in steps if not step.filler
        )
        self.unplaced_memory = sum(step.memory_mb for step in steps)
        self.unplaced_accelerators = sum(step.accelerators for step in steps)
        self.unmeasured = unmeasured

    def add_needless(self, task):
        """Count the run of ``task``, needed no more, until it is surely over."""
        self.needless[task.name, task.run] = Needless(task.step)
        if not task.step.filler:
            self.unplaced_processors += task.step.processors_milli
        self.unplaced_memory += task.step.memory_mb
        self.unplaced_accelerators += task.step.accelerators

    def steps_of_needless(self, listed, sent_at):
        """Return the steps of needless runs that may yet begin.

        ``listed`` are the runs in a report asked for at ``sent_at``.  One that it does
        not list is over if its stop was answered before; else its start may be under
        way.
        """
        steps = []
        for key, needless in list(self.needless.items()):
            if key in listed:
                continue
            if needless.barred_at and needless.barred_at < sent_at:
                del self.needless[key]
            else:
                steps.append(needless.step)
        return steps

    def fits(self, step):
        """Return whether one more task of ``step`` stays within the capacity."""
        info = self.info
        if self.unmeasured:
            return False
        memory = self.memory_used + self.unplaced_memory + step.memory_mb
        accelerators = self.accelerators_used + self.unplaced_accelerators
        if memory > info.memory_mb:
            return False
        if accelerators + step.accelerators > info.accelerators:
            return False
        if step.filler:
            return True
        processors = self.processors_used + self.unplaced_processors
        return processors + step.processors_milli <= info.processors_milli

    # Clock and lease

    def read_clock(self, clock_ms, received_at):
        """Take a reading of the endpoint's clock that arrived at ``received_at``."""
        self.clock_ms = clock_ms
        self.clock_at = received_at

    def earliest_clock(self, now):
        """Return the least that the endpoint's clock can show at ``now``, in ms."""
        return self.clock_ms + (now - self.clock_at) * 1000 * (1 - CLOCK_SLOWNESS)

    def grant(self, now, seconds):
        """Return a lease deadline ``seconds`` ahead, in ms of the endpoint's clock."""
        deadline = int(self.earliest_clock(now) + seconds * 1000)
        self.granted_ms = max(self.granted_ms, deadline)
        return deadline

    def lapsed_at(self):
        """Return when every lease granted has surely run out, in scheduler time."""
        if self.clock_ms is None or not self.granted_ms:
            return 0.0
        left = max(0, self.granted_ms - self.clock_ms) / 1000
        return self.clock_at + left / (1 - CLOCK_SLOWNESS) + LAPSE_MARGIN_SECONDS


def count(counts, image, sign):
    """Count one more or one less of ``image``; images that are gone have no entry."""
    counts[image] = counts.get(image, 0) + sign
    if not counts[image]:
        del counts[image]
