"""The engine: takes what happened and the time, returns the orders that follow.

It holds jobs and endpoints of one scheduler's term.  It performs no I/O; its owner
sends the orders, reports their outcomes, and stores the progress of changed jobs.
"""

from clementinebay import metrics
from clementinebay.policy import endpointhealth, pacing
from clementinebay.policy import progress as progresses
from clementinebay.policy.pressure import Pressure
from clementinebay.workflow import planning
from clementinebay.workflow.fleet import EndpointState
from clementinebay.workflow.inheritance import Inheritance
from clementinebay.workflow.job import Job, JobState, TaskState
from clementinebay.workflow.orders import End, PaceOrder
from clementinebay.workflow.stops import Stops

#: An order without an answer is carried out at the latest after so long, in seconds.
LATE_ORDER_SECONDS = 13.0
#: First and longest wait before a task that failed is run again, in seconds.
RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 5.0
#: A run of a job that is not known is stopped after so long, in seconds: the job may
#: be on its way here from the store.
STRAY_SECONDS = 2.0


class Engine:
    """Jobs, endpoints, and what follows from events.

    ``term`` numbers the schedulers of the installation from 0; ``inherited_until`` is
    when every lease that an earlier one granted has surely run out, and
    ``max_lease_seconds`` the longest that endpoints grant.  No other scheduler began
    before ``sole_until``: jobs that were learned of later wait until it moves on, since
    a successor would not reckon with their runs.  ``wall_clock`` is a
    `Clock` of the time of day.  ``changed`` holds jobs whose progress must be stored,
    ``urgent`` tells that somebody waits for that.
    """

    def __init__(self, term, log, wall_clock, max_lease_seconds, inherited_until=0.0):
        self.max_lease_seconds = max_lease_seconds
        self.term = term
        self.wall_clock = wall_clock
        self.log = log
        self.inheritance = Inheritance(inherited_until)
        self.jobs = {}
        self.active = {}
        self.endpoints = {}
        self.out = frozenset()
        self.changed = {}
        self.urgent = False
        self.doubts = {}
        self.stops = Stops()
        self.pressure = Pressure()
        self.sole_until = float("inf")

    # Jobs

    def add_job(self, spec, queue, now, progress=None, inherited=False):
        """Take up a job; ``progress`` is what an earlier scheduler stored of it."""
        if spec.id in self.jobs:
            return self.jobs[spec.id]
        job = Job(spec, queue, now, self.wall_clock.now())
        if progress is not None:
            job.restore(progress)
        if inherited:
            job.inherited_domains = frozenset(job.domains)
        self.jobs[spec.id] = job
        if not job.ended:
            self.active[spec.id] = job
        return job

    def cancel(self, job_id):
        """End a job at its client's wish; its runs are stopped."""
        job = self.jobs.get(job_id)
        if job is None or job.ended:
            return
        self.end_job(job, JobState.CANCELLED, self.wall_clock.now())

    def end_job(self, job, state, wall_now):
        """Move a job to an ended state and stop what runs of it."""
        job.state = state
        job.ended_at = wall_now
        self.active.pop(job.id, None)
        self.pressure.forget_job(job.id)
        metrics.JOBS_ENDED.labels(state.value).inc()
        self.mark(job, urgent=True)
        for task in job.placed():
            self.want_stop(task, state.value)
        self.log.info(
            "job.ended",
            job=job.id,
            queue=job.spec.queue,
            state=state.value,
            failures={name: len(runs) for name, runs in job.failures.items()},
        )

    def forget_job(self, job_id):
        """Drop an ended job."""
        self.jobs.pop(job_id, None)

    def mark(self, job, urgent=False):
        """Have the progress of ``job`` stored."""
        self.changed[job.id] = job
        self.urgent = self.urgent or urgent

    # Endpoints

    def see_endpoint(self, info, now):
        """Take an entry of the registry; return the endpoint's state."""
        endpoint = self.endpoints.get(info.id)
        if endpoint is None:
            endpoint = EndpointState(info, endpointhealth.Health())
            self.endpoints[info.id] = endpoint
            self.log.info(
                "endpoint.listed",
                endpoint=info.id,
                domain=info.failure_domain,
                service=info.service,
            )
        elif info.born_ms > endpoint.info.born_ms:
            self.begin_life(endpoint, info, now)
        elif info.born_ms == endpoint.info.born_ms:
            if info.leaving and not endpoint.info.leaving:
                self.log.info("endpoint.leaving", endpoint=info.id)
            endpoint.info = info
        endpoint.listed = True
        return endpoint

    def begin_life(self, endpoint, info, now):
        """Take up a restarted endpoint: whatever ran there has ended."""
        self.log.warning(
            "endpoint.restarted",
            endpoint=info.id,
            runs=len(endpoint.tasks),
            born_ms=info.born_ms,
        )
        for task in list(endpoint.tasks.values()):
            if task.state in (TaskState.STARTING, TaskState.DOUBTFUL):
                self.doubt(task, now)
            else:
                self.lose(task, "restarted")
        endpoint.begin_life(info)

    def unlist_endpoint(self, endpoint_id):
        """Note that the registry lists an endpoint no more; its leases run out."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is not None and endpoint.listed:
            endpoint.listed = False
            self.log.warning(
                "endpoint.unlisted", endpoint=endpoint_id, runs=len(endpoint.tasks)
            )

    def expire(self, now):
        """Free the tasks of endpoints whose leases have surely run out."""
        for endpoint in list(self.endpoints.values()):
            if endpoint.clock_ms is None and endpoint.listed:
                continue
            if now < endpoint.lapsed_at():
                continue
            for task in list(endpoint.tasks.values()):
                if now < self.doubts.get(task.name, 0.0):
                    continue
                self.lose(task, "lapsed")
            if not endpoint.listed and not endpoint.tasks:
                del self.endpoints[endpoint.id]
                if endpoint.settled:
                    self.inheritance.settle(endpoint.id)
                self.log.info("endpoint.forgotten", endpoint=endpoint.id)
        self.inheritance.expire(now)

    def lose(self, task, cause):
        """Give up a run that ended without being done."""
        metrics.RUNS_LOST.labels(cause).inc()
        self.log.info(
            "task.lost",
            task=task.name,
            run=task.run,
            endpoint=task.endpoint.id,
            cause=cause,
        )
        self.release(task)

    def release(self, task):
        """Take a task from its endpoint after its run has ended or is barred."""
        self.doubts.pop(task.name, None)
        self.stops.drop(task.endpoint, task.name, task.run)
        task.unplace()

    # Reports of endpoints

    def take_report(self, endpoint, report, sent_at, now):
        """Take an endpoint's lists, which it made after ``sent_at``.

        Returns whether the report is of the life that is known.
        """
        if report.born_ms is not None and report.born_ms != endpoint.info.born_ms:
            return False
        if endpoint.clock_ms is None:
            # An earlier scheduler may have granted a lease of any length.
            endpoint.granted_ms = report.clock_ms + self.max_lease_seconds * 1000
        endpoint.read_clock(report.clock_ms, now)
        endpoint.failing_since = None
        for end in report.ended:
            if end.number > endpoint.noted:
                endpoint.noted = end.number
                self.take_end(endpoint, end, now)
        seen = set()
        for row in report.running:
            seen.add(row.task)
            self.take_running(endpoint, row, now)
        self.count_unplaced(endpoint, report.running, sent_at)
        self.pressure.observe(endpoint, now)
        self.find_missing(endpoint, seen, sent_at)
        self.free_stuck(endpoint, now)
        endpoint.settled = True
        self.inheritance.settle(endpoint.id)
        return True

    def find_task(self, name):
        """Return the `Task` called ``name``, or ``None``."""
        try:
            job_id, _occurrence, step, index = name.split(".")
            return self.jobs[job_id].task(int(step), int(index))
        except (LookupError, ValueError):
            return None

    def take_end(self, endpoint, end, now):
        """Take one end of a run."""
        metrics.RUN_ENDS.labels(end.outcome).inc()
        self.stops.drop(endpoint, end.task, end.run)
        endpoint.needless.pop((end.task, end.run), None)
        task = self.find_task(end.task)
        if task is None:
            return
        current = task.endpoint is endpoint and task.run == end.run
        if end.checkpoint and not task.step.replica:
            task.checkpoint = end.checkpoint
        self.log.info(
            "task.ended",
            task=end.task,
            run=end.run,
            endpoint=endpoint.id,
            outcome=end.outcome,
            seconds=round(now - task.started_at, 3) if current else None,
        )
        if end.outcome == End.DONE:
            endpoint.health.succeeded()
            self.take_done(task, current)
        else:
            if end.outcome == End.FAILED:
                self.take_failure(endpoint, task, end.run, now)
            if current:
                self.release(task)

    def take_done(self, task, current):
        """Finish the task of a run that is done, and perhaps its job."""
        job = task.job
        if task.state is TaskState.DONE:
            return
        if task.endpoint is not None:
            if not current:
                self.stops.add(task.endpoint, task.name, task.run, "duplicate")
                task.endpoint.add_needless(task)
            self.doubts.pop(task.name, None)
        if job.ended:
            task.unplace()
            return
        job.finish_task(task)
        if job.state is JobState.COMPLETED:
            self.end_job(job, JobState.COMPLETED, self.wall_clock.now())
        else:
            self.mark(job, urgent=True)

    def take_failure(self, endpoint, task, run, now):
        """Take a failed run: its own fault or the endpoint's."""
        job = task.job
        if endpoint.health.failed(job.id, now):
            self.log.warning(
                "endpoint.barred",
                endpoint=endpoint.id,
                until=round(endpoint.health.barred_until - now, 2),
            )
        task.avoided_endpoints = (task.avoided_endpoints or frozenset()) | {endpoint.id}
        if job.ended:
            return
        used_up = job.fail_run(task, run)
        failures = 1 if task.step.replica else len(job.failures[task.name])
        wait = min(RETRY_SECONDS * 2 ** (failures - 1), MAX_RETRY_SECONDS)
        task.not_before = now + wait
        if used_up:
            self.end_job(job, JobState.FAILED, self.wall_clock.now())
        elif not task.step.replica:
            self.mark(job, urgent=True)

    def take_running(self, endpoint, row, now):
        """Take one run that is at work."""
        task = self.find_task(row.task)
        if task is None and row.task.partition(".")[0] not in self.jobs:
            self.take_stray(endpoint, row, now)
            return
        if task is None or task.state is TaskState.DONE or task.job.ended:
            known = task is not None and task.endpoint is endpoint
            if not known or task.run != row.run:
                self.stops.add(endpoint, row.task, row.run, "unknown")
            elif task.state is not TaskState.STOPPING:
                self.want_stop(task, "ended")
            return
        if task.endpoint is None and task.state is TaskState.WAITING:
            task.run = max(task.run, row.run)
            task.place(endpoint, row.run, TaskState.RUNNING, now)
            task.pace = None
            task.job.begun = True
            self.log.info(
                "task.adopted", task=row.task, run=row.run, endpoint=endpoint.id
            )
        elif task.endpoint is not endpoint or task.run != row.run:
            self.stops.add(endpoint, row.task, row.run, "duplicate")
            return
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        if row.percent != task.percent:
            task.percent = row.percent
            task.progressed_at = now
        task.measurement = row.measurement
        if task.state in (TaskState.STARTING, TaskState.DOUBTFUL):
            task.state = TaskState.RUNNING
            self.doubts.pop(task.name, None)

    def count_unplaced(self, endpoint, rows, sent_at):
        """Count the runs that are, or may come to be, no task's current run."""
        listed = {(row.task, row.run) for row in rows}
        steps, unmeasured = endpoint.steps_of_needless(listed, sent_at), False
        for row in rows:
            task = self.find_task(row.task)
            if task is None:
                unmeasured = True
            elif task.endpoint is not endpoint or task.run != row.run:
                steps.append(task.step)
        endpoint.count_unplaced(steps, unmeasured)

    def take_stray(self, endpoint, row, now):
        """Stop the run of a job that stays unknown."""
        first_seen = endpoint.strays.setdefault((row.task, row.run), now)
        if now > first_seen + STRAY_SECONDS:
            self.stops.add(endpoint, row.task, row.run, "unknown-job")

    def find_missing(self, endpoint, seen, sent_at):
        """Free tasks that the endpoint does not list although it should."""
        for task in list(endpoint.tasks.values()):
            if task.name in seen:
                continue
            if task.state is TaskState.RUNNING and task.started_at < sent_at:
                self.lose(task, "missing")
            elif task.state is TaskState.STOPPING:
                stop = self.stops.find(endpoint, task.name, task.run)
                if stop is None or (stop.answered_at and stop.answered_at < sent_at):
                    self.release(task)

    # Orders

    def want_stop(self, task, reason):
        """Order the end of the run of ``task``, which keeps its resources till then."""
        if task.state is not TaskState.STOPPING:
            task.state = TaskState.STOPPING
            self.stops.add(task.endpoint, task.name, task.run, reason)

    def doubt(self, task, now):
        """Bar the run of an unanswered order before the task is free."""
        if task.state is TaskState.DOUBTFUL:
            return
        task.state = TaskState.DOUBTFUL
        self.doubts[task.name] = now + LATE_ORDER_SECONDS
        task.bound_to = task.endpoint
        task.bound_until = now + LATE_ORDER_SECONDS
        self.stops.add(task.endpoint, task.name, task.run, "unanswered")

    def start_answered(self, order, now):
        """Note that an order to start was carried out."""
        task = order.task
        current = task.endpoint is order.endpoint and task.run == order.run
        if current and task.state is TaskState.STARTING:
            task.state = TaskState.RUNNING
            task.started_at = now

    def start_refused(self, order, now, wait=0.0):
        """Note that an order to start surely had no effect."""
        task = order.task
        if task.endpoint is order.endpoint and task.run == order.run:
            self.release(task)
            task.not_before = now + wait

    def start_unanswered(self, order, now):
        """Note that an order to start may be carried out, also later."""
        task = order.task
        current = task.endpoint is order.endpoint and task.run == order.run
        if current and task.state is TaskState.STARTING:
            self.doubt(task, now)

    def stop_answered(self, order, now):
        """Note that an endpoint refuses the run from now on, and ends it soon."""
        stop = self.stops.find(order.endpoint, order.task, order.run)
        if stop is None:
            return
        stop.answered_at = now
        needless = order.endpoint.needless.get((order.task, order.run))
        if needless is not None:
            needless.barred_at = now
        task = self.find_task(order.task)
        if task is None or task.endpoint is not order.endpoint or task.run != order.run:
            self.stops.drop(order.endpoint, order.task, order.run)
            return
        if task.state is TaskState.DOUBTFUL:
            # Listed in the next report if it is at work, else free.
            task.state = TaskState.STOPPING
            self.doubts.pop(task.name, None)

    def pace(self, endpoint, now):
        """Return the orders that keep an endpoint's fillers from its replicas."""
        paces = pacing.decide(endpoint.pacing, endpoint, self.pressure, now)
        orders = []
        for task, percent in paces.items():
            if task.state is not TaskState.RUNNING or task.pace == percent:
                continue
            task.pace = percent
            task.paced_at = now
            task.paused_since = now if percent == pacing.PAUSED else None
            orders.append(PaceOrder(endpoint, task, percent))
        for task in pacing.fillers_to_move(endpoint, now):
            if task.state is TaskState.RUNNING:
                self.want_stop(task, "paused")
        endpoint.spare_headroom = self.pressure.spare_headroom(endpoint)
        return orders

    def pace_failed(self, order):
        """Note that a pace may not be in force."""
        if order.task.run == order.run:
            order.task.pace = None

    def plan(self, now):
        """Return the orders to start that can be given now."""
        return planning.plan(self, now)

    def free_stuck(self, endpoint, now):
        """Stop the runs of an endpoint that stand still; it takes nothing meanwhile."""
        tasks = [
            task
            for task in endpoint.tasks.values()
            if task.state is TaskState.RUNNING and progresses.stuck(task, now)
        ]
        if tasks and not endpoint.health.barred(now):
            endpoint.health.bar(now)
            self.log.warning(
                "endpoint.stuck",
                endpoint=endpoint.id,
                tasks=[task.name for task in tasks],
                until=round(endpoint.health.barred_until - now, 2),
            )
        for task in tasks:
            task.avoided_endpoints = (task.avoided_endpoints or frozenset()) | {
                endpoint.id
            }
            self.want_stop(task, "stuck")

    # Storing

    def take_changes(self):
        """Return the jobs to store, and the ends whose effect is stored with them.

        The second is a list of (endpoint, life, number); pass it to `stored` when all
        is stored, or both to `not_stored`.
        """
        jobs = list(self.changed.values())
        self.changed = {}
        self.urgent = False
        ends = [
            (endpoint, endpoint.info.born_ms, endpoint.noted)
            for endpoint in self.endpoints.values()
            if endpoint.noted > endpoint.acknowledged
        ]
        return jobs, ends

    def stored(self, records, ends):
        """Note that ``records``, (job, `Progress`), are stored."""
        for job, progress in records:
            job.domains |= set(progress.domains)
            job.wanted_domains -= job.domains
        for endpoint, born_ms, number in ends:
            if endpoint.info.born_ms == born_ms:
                endpoint.acknowledged = max(endpoint.acknowledged, number)

    def not_stored(self, jobs):
        """Have ``jobs`` stored again."""
        for job in jobs:
            self.changed.setdefault(job.id, job)
        self.urgent = True

    def pending(self):
        """Return how many jobs of each queue have begun no task."""
        counts = {}
        for job in self.active.values():
            if not job.begun:
                counts[job.spec.queue] = counts.get(job.spec.queue, 0) + 1
        return counts
