"""What each organisation has running, and whether it may start more.

Counted are all runs that may exist: those assigned to an endpoint, from the decision to
start them until their end is known, those that are being stopped because another run
replaced them, and those of earlier terms that no endpoint has denied yet.
"""

import heapq
from collections import Counter

from clementinebay import metrics
from clementinebay.policy.quota import Ledger, resource_vector
from clementinebay.policy.shares import Shares
from clementinebay.workflow.job import JobState

NOTHING = (0, 0, 0)
#: Greatest number of organisations that have a metric of their own.
MAX_LABELLED = 20


class Quotas:
    """The resources that organisations hold, and the limits of one configuration.

    ``ledger`` has the runs assigned to endpoints, which update it.  ``unsettled`` has
    the resources of other runs, as of the last plan, by organisation.  ``weights`` and
    ``shares`` tell which jobs exceed the share of their organisation.
    """

    __slots__ = ("ledger", "unsettled", "weights", "shares")

    def __init__(self):
        self.ledger = Ledger()
        self.unsettled = {}
        self.weights = {}
        self.shares = Shares()

    def adopt(self, table):
        """Adopt the limits of an `OrganisationTable`, or none if it is ``None``.

        An organisation above a lowered limit keeps its runs and starts no more.
        """
        self.ledger.limits = {} if table is None else table.limits()
        self.weights = {}
        if table is not None:
            self.weights = {
                name: organisation.weight
                for name, organisation in table.by_name.items()
            }

    def exceeds_share(self, spec):
        """Return whether a new job exceeds the share of its organisation."""
        weight = self.weights.get(spec.organisation)
        if weight is None:
            return False
        return self.shares.exceeds(spec.organisation, weight, spec.accepted_at)

    def reserve(self, task, sign):
        """Count (``sign`` 1) or discount (-1) a run of ``task``."""
        name = task.job.spec.organisation
        if name:
            self.ledger.reserve(name, task.step, sign)

    def begin_plan(self, engine):
        """Find the runs that are not assigned to an endpoint."""
        self.unsettled = {}
        if not self.ledger.limits:
            return
        for endpoint in engine.endpoints.values():
            for owner, step in endpoint.orphans:
                self.add_unsettled(owner, step)
        if not engine.inherited_endpoints.awaited():
            return
        for job in engine.jobs.values():
            if job.state is JobState.COMPLETED or not job.spec.organisation:
                continue
            # Any of its tasks may run at an endpoint that was not heard of.
            if not engine.inherited_endpoints.all_reported(job):
                self.add(job.spec.organisation, possible_use(job))

    def add_unsettled(self, name, step):
        """Count a run that is not assigned to an endpoint."""
        if name:
            self.add(name, resource_vector(step))

    def add(self, name, resources):
        """Count resources held by runs that are not assigned to an endpoint."""
        held = self.unsettled.get(name, NOTHING)
        self.unsettled[name] = tuple(map(sum, zip(held, resources, strict=True)))

    def held(self, name):
        """Return what an organisation has running at most, as a resource vector."""
        running = self.ledger.held.get(name, NOTHING)
        unsettled = self.unsettled.get(name, NOTHING)
        return tuple(map(sum, zip(running, unsettled, strict=True)))

    def backlogs(self, jobs):
        """Return how long the waiting work of organisations at their limit takes.

        In seconds by organisation, within its limit of processors; ``jobs`` are the
        active ones.  Work without processors is not counted.
        """
        waiting = {}
        for job in jobs:
            name = job.spec.organisation
            if job.replica or name not in self.ledger.limits:
                continue
            for number, tasks in enumerate(job.waiting):
                step = job.spec.steps[number]
                if tasks and not self.allows(name, step):
                    work = len(tasks) * step.processors_milli * step.estimate_ms / 1000
                    waiting[name] = waiting.get(name, 0.0) + work
        return {
            name: round(work / self.ledger.limits[name][0], 2)
            for name, work in waiting.items()
            if self.ledger.limits[name][0]
        }

    def rows(self, jobs):
        """Return a dictionary for each organisation, as operators see it.

        Processors are whole ones; ``limit_*`` is ``None`` without a limit.  ``jobs``
        are the active ones.
        """
        jobs = list(jobs)
        backlogs = self.backlogs(jobs)
        waiting, excess = Counter(), Counter()
        for job in jobs:
            waiting[job.spec.organisation] += sum(map(len, job.waiting))
            excess[job.spec.organisation] += job.exceeds_share
        rows = []
        for name, weight in sorted(self.weights.items()):
            processors, memory, _accelerators = self.held(name)
            most = self.ledger.limits.get(name, (None, None, None))
            rows.append(
                {
                    "organisation": name,
                    "weight": weight,
                    "processors": processors / 1000,
                    "limit_processors": most[0] and most[0] / 1000,
                    "memory_mb": memory,
                    "limit_memory_mb": most[1],
                    "waiting_tasks": waiting[name],
                    "jobs_beyond_share": excess[name],
                    "wait_for_limit_seconds": backlogs.get(name, 0.0),
                }
            )
        return rows

    def use_ratios(self):
        """Return the greatest share of a limit that is in use, by organisation."""
        ratios = {}
        for name, limit in self.ledger.limits.items():
            pairs = zip(limit, self.held(name), strict=True)
            ratios[name] = max(used / most for most, used in pairs if most)
        return ratios

    def export_metrics(self):
        """Set the metric of the organisations that are nearest to their limit."""
        metrics.ORGANISATION_USE.clear()
        ratios = self.use_ratios()
        for name in heapq.nlargest(MAX_LABELLED, ratios, key=ratios.get):
            metrics.ORGANISATION_USE.labels(name).set(ratios[name])

    def allows(self, name, step):
        """Return whether an organisation may start a task of ``step`` now.

        A task that is larger than the whole limit may run alone.
        """
        limit = self.ledger.limits.get(name)
        if limit is None:
            return True
        held = self.held(name)
        return not any(held) or all(
            most is None or used + more <= most
            for most, used, more in zip(limit, held, resource_vector(step), strict=True)
        )


def possible_use(job):
    """Return the most that runs of a job may hold that are not assigned to an endpoint.

    A scheduler that is cut off sees the ends of runs that this one does not, and starts
    the steps after them.  Of steps that each follow the one before, one runs at a time.
    """
    uses = []
    for number, step in enumerate(job.spec.steps):
        assigned = sum(
            task.endpoint is not None and task.step_number == number
            for task in job.tasks.values()
        )
        left = max(0, job.remaining[number] - assigned)
        uses.append(tuple(left * amount for amount in resource_vector(step)))
    is_chain = all(
        number - 1 in step.after for number, step in enumerate(job.spec.steps) if number
    )
    return tuple(map(max if is_chain else sum, zip(*uses, strict=True)))
