"""The scheduling engine: turns events and the time into orders for endpoints.

The engine holds the jobs and endpoints of one scheduler's term.  It performs no I/O:
its owner sends the orders, reports their outcomes and stores the progress of changed
jobs.
"""

from clementinebay import metrics
from clementinebay.policy import endpointhealth, pacing
from clementinebay.policy import progress as progress_policy
from clementinebay.policy.pressure import Pressure
from clementinebay.workflow import (
    incarnations,
    leases,
    moving,
    planning,
    suspects,
)
from clementinebay.workflow.fleet import EndpointState, longest_lease
from clementinebay.workflow.inheritance import InheritedEndpoints
from clementinebay.workflow.job import ENDED, Job, JobState, TaskState
from clementinebay.workflow.model import unlisted_endpoint
from clementinebay.workflow.orders import (
    MAX_ORDER_DELAY_SECONDS,
    PaceOrder,
    RunEnd,
)
from clementinebay.workflow.quotas import Quotas
from clementinebay.workflow.starting import StartingJobs
from clementinebay.workflow.stops import PendingStops

#: First and longest backoff before a failed task is run again, in seconds.  A replica
#: that has ended always waits for the first.
RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 5.0
#: Time after which a run of an unknown job is stopped, in seconds.  The job may have
#: been stored already without having been read by this scheduler.
UNKNOWN_JOB_GRACE_SECONDS = 2.0


class Engine:
    """The jobs and endpoints of one term, and the decisions about them.

    ``term`` numbers the schedulers of the installation from 0.  ``inherited_until`` is
    the time by which every lease granted by an earlier scheduler has expired, and
    ``max_lease_seconds`` the longest lease that endpoints accept.  No other scheduler
    can begin a term before ``exclusive_until``.  A job discovered later is not started
    until this time is extended, because a successor would not expect runs of the job.
    ``wall_clock`` is a `Clock` of the time of day.  ``changed`` holds the jobs whose
    progress must be stored; ``urgent`` is true if that write must not be delayed.
    ``occupants`` has the newest incarnation by (address, service).
    ``late_order_deadlines`` maps the names of tasks with an unanswered start order to
    the time until which the order may still be executed.  ``leases`` limits the leases
    that may be granted, ``starting`` holds jobs back until they are stored as started,
    ``quotas`` limits what organisations may run.  ``unplaced`` has
    some of the tasks for which the last plan found no endpoint.  ``start_seconds`` is
    the time between two starts while tasks wait for them, else 0.
    """

    def __init__(self, term, log, wall_clock, max_lease_seconds, inherited_until=0.0):
        self.max_lease_seconds = max_lease_seconds
        self.term = term
        self.wall_clock = wall_clock
        self.log = log
        self.inherited_endpoints = InheritedEndpoints(
            inherited_until,
            leases.longest_until(inherited_until, max_lease_seconds),
            longest_lease(max_lease_seconds),
        )
        self.leases = leases.LeaseLimits(self, max_lease_seconds)
        self.starting = StartingJobs(self)
        self.jobs = {}
        self.active = {}
        self.endpoints = {}
        self.occupants = {}
        self.disabled_domains = frozenset()
        self.changed = {}
        self.urgent = False
        self.late_order_deadlines = {}
        self.stops = PendingStops()
        self.suspects = suspects.Suspects()
        self.pressure = Pressure()
        self.quotas = Quotas()
        self.unplaced = []
        self.exclusive_until = float("inf")
        self.start_seconds = 0.0

    # Jobs

    def add_job(self, spec, queue, now, progress=None, inherited=False):
        """Add a job and return it.

        ``progress`` is the `Progress` stored by an earlier scheduler, ``inherited``
        whether an earlier scheduler may have started runs of the job.
        """
        if spec.id in self.jobs:
            return self.jobs[spec.id]
        job = Job(spec, queue, now, self.wall_clock.now())
        if progress is not None:
            job.restore(progress)
            if progress.state in ENDED and not job.ended:
                self.mark_changed(job, urgent=True)
        if inherited:
            job.inherited_domains = frozenset(job.domains)
        self.jobs[spec.id] = job
        if not job.ended:
            self.active[spec.id] = job
            job.exceeds_share = self.quotas.exceeds_share(spec)
            self.suspects.restore(job)
        return job

    def cancel(self, job_id):
        """Cancel a job on request of its client and stop its runs."""
        job = self.jobs.get(job_id)
        if job is None or job.ended:
            return
        self.end_job(job, JobState.CANCELLED, "cancelled")

    def end_job(self, job, state, reason):
        """Move a job to a final state and stop its runs; ``reason`` is logged."""
        job.state = state
        job.ended_at = self.wall_clock.now()
        self.active.pop(job.id, None)
        self.pressure.forget_job(job.id)
        self.suspects.forget_job(job)
        metrics.JOBS_ENDED.labels(state.value).inc()
        self.mark_changed(job, urgent=True)
        for task in job.assigned_tasks():
            self.request_stop(task, state.value)
        self.log.info(
            "job.ended",
            job=job.id,
            queue=job.spec.queue,
            state=state.value,
            reason=reason,
            failures={name: len(runs) for name, runs in job.failures.items()},
        )

    def forget_job(self, job_id):
        """Drop an ended job."""
        self.jobs.pop(job_id, None)

    def mark_changed(self, job, urgent=False):
        """Schedule the progress of ``job`` to be stored."""
        self.changed[job.id] = job
        self.urgent = self.urgent or urgent

    # Endpoints

    def register_endpoint(self, info, now):
        """Add or update the endpoint of a registry entry; return its state."""
        endpoint = self.endpoints.get(info.id)
        if endpoint is None:
            endpoint = EndpointState(info, endpointhealth.Health(), self.quotas)
            self.endpoints[info.id] = endpoint
            self.inherited_endpoints.record_incarnation(endpoint)
            self.log.info(
                "endpoint.listed",
                endpoint=info.id,
                domain=info.failure_domain,
                service=info.service,
                address=info.address,
            )
        elif info.born_ms > endpoint.info.born_ms:
            incarnations.restart(self, endpoint, info, now)
        elif info.born_ms == endpoint.info.born_ms:
            if info.leaving and not endpoint.info.leaving:
                self.log.info("endpoint.leaving", endpoint=info.id)
            endpoint.info = info
            endpoint.has_valid_entry = True
        endpoint.listed = True
        self.end_earlier_occupant(endpoint, now)
        return endpoint

    def end_earlier_occupant(self, endpoint, now):
        """End the earlier of two incarnations that were listed at one address.

        Only entries of one service are compared: one of another service may be another
        writer's.  In records of earlier builds the service is unknown.
        """
        if not endpoint.info.service:
            return
        place = (endpoint.info.address, endpoint.info.service)
        other = self.occupants.setdefault(place, endpoint)
        if other is endpoint or (other.info.address, other.info.service) != place:
            self.occupants[place] = endpoint
            return
        earlier, later = sorted((other, endpoint), key=lambda e: e.info.born_ms)
        if earlier.info.born_ms < later.info.born_ms:
            self.occupants[place] = later
            self.end_incarnation(earlier, now, later.id)

    def await_endpoint(self, info, now):
        """Add an endpoint of an earlier term that is not listed; return its state.

        It is asked for its runs until it answers or its leases have expired.
        """
        endpoint = self.register_endpoint(info, now)
        endpoint.listed = False
        return endpoint

    def suspend_endpoint(self, endpoint_id):
        """Start no tasks at an endpoint until its registry entry is valid again.

        Its capacity may be less than in the last valid entry.  Its runs go on.
        """
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.has_valid_entry = False

    def end_incarnation(self, endpoint, now, occupant=""):
        """Release all tasks of an incarnation that has certainly ended.

        Other incarnations refuse its orders, so none of them can be executed late.
        ``occupant`` is the id of a later one listed at its address, "" if the address
        has answered as another.
        """
        if endpoint.has_ended:
            return
        endpoint.has_ended = True
        endpoint.close_leases()
        endpoint.kept_until = now + MAX_ORDER_DELAY_SECONDS
        self.log.warning(
            "endpoint.ended",
            endpoint=endpoint.id,
            runs=len(endpoint.tasks),
            occupant=occupant,
        )
        given_up = suspects.count_crash(self, endpoint, now)
        for task in list(endpoint.tasks.values()):
            self.lose_run(task, "crashed", now)
        for job in self.active.values():
            job.unpin_tasks(endpoint)
        self.inherited_endpoints.mark_reported(endpoint.id)
        suspects.give_up(self, given_up)

    def unlist_endpoint(self, endpoint_id):
        """Record that an endpoint has left the registry; its leases will expire."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is not None and endpoint.listed:
            endpoint.listed = False
            self.log.warning(
                "endpoint.unlisted", endpoint=endpoint_id, runs=len(endpoint.tasks)
            )

    def expire(self, now):
        """Release the tasks of silent endpoints whose leases have certainly expired.

        An endpoint that has not failed to answer may have listed the ends of its runs
        to a scheduler that is late, so these are waited for.  A successor may have
        extended leases once the term is not exclusive.
        """
        if now > self.exclusive_until:
            return
        for endpoint in list(self.endpoints.values()):
            if endpoint.clock_ms is None and (endpoint.listed or endpoint.tasks):
                incarnations.expire_unreported(self, endpoint, now)
                continue
            if now < endpoint.leases_expire_at():
                continue
            if endpoint.tasks and not endpoint.is_silent:
                continue
            for task in list(endpoint.tasks.values()):
                if now < self.late_order_deadlines.get(task.name, 0.0):
                    continue
                self.lose_run(task, "lapsed", now)
            if not endpoint.listed and not endpoint.tasks:
                self.forget_endpoint(endpoint, now)
        for endpoint_id in self.inherited_endpoints.expire(self.endpoints, now):
            self.log.info(
                "endpoint.leases_ended",
                endpoint=endpoint_id,
                **self.inherited_endpoints.describe(endpoint_id),
            )

    def forget_endpoint(self, endpoint, now):
        """Drop an endpoint without tasks unless it is awaited or its fence is needed.

        If it comes back under its id, it must refuse late orders to the incarnation
        that has ended.
        """
        awaited = self.inherited_endpoints.expects(endpoint.id)
        if not awaited and now >= endpoint.kept_until:
            del self.endpoints[endpoint.id]
            place = (endpoint.info.address, endpoint.info.service)
            if self.occupants.get(place) is endpoint:
                del self.occupants[place]
            self.log.info("endpoint.forgotten", endpoint=endpoint.id)

    def lose_run(self, task, cause, now):
        """Record a run that ended without a result and release its task."""
        metrics.RUNS_LOST.labels(cause).inc()
        self.log.info(
            "task.lost",
            task=task.name,
            run=task.run,
            endpoint=task.endpoint.id,
            cause=cause,
        )
        self.release(task, now)

    def release(self, task, now):
        """Remove a task from its endpoint once its run has ended or cannot start."""
        self.late_order_deadlines.pop(task.name, None)
        self.stops.drop(task.endpoint, task.name, task.run)
        suspects.withdraw_presumed(self, task)
        self.suspects.unsettled.pop(task, None)
        task.unplace(now)

    # Reports of endpoints

    def process_report(self, endpoint, report, sent_at, now):
        """Process a report that the endpoint compiled after ``sent_at``.

        Returns ``False`` for a report of an earlier incarnation of the endpoint, of one
        that has ended, or of a forgotten endpoint.  The report of a newer incarnation
        ends the runs of the earlier one; its own runs are read from a later report.
        """
        if self.endpoints.get(endpoint.id) is not endpoint or endpoint.has_ended:
            return False
        if report.born_ms is not None and report.born_ms != endpoint.info.born_ms:
            if report.born_ms < endpoint.info.born_ms:
                return False
            # Its entry may be late, and its capacity may differ.
            info = unlisted_endpoint(
                endpoint.id,
                endpoint.domain,
                endpoint.info.address,
                report.born_ms,
                endpoint.info.service,
            )
            incarnations.restart(self, endpoint, info, now)
            return False
        if sent_at < endpoint.restarted_at:
            # Asked for with the fence of the incarnation before, so it does not bar
            # other orders to that one, which may still start runs and extend leases.
            return False
        if endpoint.clock_ms is None:
            incarnations.record_leases(self, endpoint, report, now)
        incarnations.record_jobs(endpoint, report)
        endpoint.read_clock(report.clock_ms, sent_at, now)
        endpoint.unreachable_since = None
        endpoint.is_silent = False
        for end in report.ended:
            if end.number > endpoint.last_processed_end:
                endpoint.last_processed_end = end.number
                self.process_end(endpoint, end, now)
        seen = set()
        for row in report.running:
            seen.add(row.task)
            self.process_running(endpoint, row, now)
        suspects.clear_sound(self, endpoint, report.running, sent_at)
        self.set_orphaned(endpoint, report.running, sent_at)
        if endpoint.info.has_known_capacity:
            self.pressure.observe(endpoint, now)
        self.stop_stuck_runs(endpoint, seen, now)
        self.record_unread_ends(endpoint, report)
        if report.has_all_ends:
            self.release_missing(endpoint, seen, sent_at, now)
            endpoint.has_reported = True
            self.inherited_endpoints.mark_reported(endpoint.id)
        return True

    def record_unread_ends(self, endpoint, report):
        """Record whether an endpoint may have ends that its report does not list."""
        if not report.has_all_ends and not endpoint.has_unread_ends:
            self.log.info(
                "endpoint.ends_unread",
                endpoint=endpoint.id,
                ends=len(report.ended),
                processed=endpoint.last_processed_end,
                acknowledged=endpoint.last_acknowledged_end,
            )
        endpoint.has_unread_ends = not report.has_all_ends

    def pinned_jobs(self, now):
        """Return the ids of the jobs of pinned tasks, by the id of their endpoint."""
        pinned = {}
        for job in self.active.values():
            for waiting in job.waiting:
                for task in waiting:
                    if now < task.pinned_until:
                        endpoint_id = task.pinned_endpoint.id
                        pinned.setdefault(endpoint_id, set()).add(job.id)
        # The next run of a pinned task may be at work.
        for task in self.starting.started:
            if now < task.pinned_until:
                endpoint_id = task.pinned_endpoint.id
                pinned.setdefault(endpoint_id, set()).add(task.job.id)
        return pinned

    def find_task(self, name):
        """Return the `Task` called ``name``, or ``None``."""
        try:
            job_id, _occurrence, step, index = name.split(".")
            task = self.jobs[job_id].task(int(step), int(index))
        except (LookupError, ValueError):
            return None
        return task if task.name == name else None

    def process_end(self, endpoint, end, now):
        """Process the end of one run."""
        metrics.RUN_ENDS.labels(end.outcome).inc()
        self.stops.drop(endpoint, end.task, end.run)
        endpoint.redundant_runs.pop((end.task, end.run), None)
        task = self.find_task(end.task)
        if task is None:
            return
        self.confirm_start(task.job)
        current = task.endpoint is endpoint and task.run == end.run
        task.last_run = max(task.last_run, end.run)
        task.settle_start(endpoint, end.run)
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
        if end.outcome in (RunEnd.DONE, RunEnd.FAILED):
            suspects.clear(self, task)
        if end.outcome == RunEnd.DONE and not task.step.replica:
            endpoint.health.succeeded()
            self.process_success(task, current, now)
            return
        if end.outcome == RunEnd.FAILED:
            self.process_failure(endpoint, task, end.run, now)
        if current:
            suspects.withdraw_unsettled(self, task)
            self.release(task, now)
            if end.outcome == RunEnd.DONE:
                task.not_before = now + RETRY_SECONDS

    def process_success(self, task, current, now):
        """Complete the task of a successful run, and its job after the last task."""
        job = task.job
        if task.state is TaskState.DONE:
            return
        if task.endpoint is not None:
            if not current:
                self.stops.add(task.endpoint, task.name, task.run, "duplicate")
                task.endpoint.add_redundant_run(task)
            self.late_order_deadlines.pop(task.name, None)
        if job.ended:
            task.unplace(now)
            return
        job.finish_task(task, now)
        if job.state is JobState.COMPLETED:
            self.end_job(job, JobState.COMPLETED, "completed")
        else:
            self.mark_changed(job, urgent=True)

    def process_failure(self, endpoint, task, run, now):
        """Count a failed run against its endpoint and its task."""
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
        exhausted = job.record_failure(task, run)
        failures = 1 if task.step.replica else len(job.failures[task.name])
        wait = min(RETRY_SECONDS * 2 ** (failures - 1), MAX_RETRY_SECONDS)
        task.not_before = now + wait
        if exhausted:
            self.end_job(job, JobState.FAILED, "attempts-exhausted")
        elif not task.step.replica:
            self.mark_changed(job, urgent=True)

    def process_running(self, endpoint, row, now):
        """Process the report of one run in progress."""
        task = self.find_task(row.task)
        if task is None and row.task.partition(".")[0] not in self.jobs:
            self.stop_unknown_run(endpoint, row, now)
            return
        if task is not None:
            self.confirm_start(task.job)
        if task is None or task.state is TaskState.DONE or task.job.ended:
            known = task is not None and task.endpoint is endpoint
            if not known or task.run != row.run:
                self.stops.add(endpoint, row.task, row.run, "unknown")
            elif task.state is not TaskState.STOPPING:
                self.request_stop(task, "ended")
            return
        if task.endpoint is None and task.state is TaskState.WAITING:
            task.place(endpoint, row.run, TaskState.RUNNING, now)
            task.pace = None
            self.log.info(
                "task.adopted", task=row.task, run=row.run, endpoint=endpoint.id
            )
        elif task.endpoint is not endpoint or task.run != row.run:
            self.stops.add(endpoint, row.task, row.run, "duplicate")
            return
        task.has_run = True
        task.is_located = True
        suspects.locate_run(self, task)
        task.settle_start(endpoint, row.run)
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        if row.percent != task.percent:
            task.percent = row.percent
            task.progressed_at = now
        task.measurement = row.measurement
        if task.state in (TaskState.STARTING, TaskState.UNCONFIRMED):
            task.state = TaskState.RUNNING
            self.late_order_deadlines.pop(task.name, None)

    def set_orphaned(self, endpoint, rows, sent_at):
        """Reserve resources for runs that are not the current run of a task.

        Includes redundant runs whose start may still be executed.
        """
        orphans, has_unsized = [], False
        if endpoint.redundant_runs:
            listed = {(row.task, row.run) for row in rows}
            orphans = endpoint.pending_redundant_runs(listed, sent_at)
        for row in rows:
            task = endpoint.tasks.get(row.task)
            if (
                task is not None
                and task.run == row.run
                and self.jobs.get(task.job.id) is task.job
            ):
                continue
            task = self.find_task(row.task)
            if task is None:
                has_unsized = True
            elif task.endpoint is not endpoint or task.run != row.run:
                orphans.append((task.job.spec.organisation, task.step))
        endpoint.set_orphaned(orphans, has_unsized)

    def stop_unknown_run(self, endpoint, row, now):
        """Stop a run whose job has been unknown for `UNKNOWN_JOB_GRACE_SECONDS`."""
        first_seen = endpoint.unknown_runs.setdefault((row.task, row.run), now)
        if now > first_seen + UNKNOWN_JOB_GRACE_SECONDS:
            self.stops.add(endpoint, row.task, row.run, "unknown-job")

    def release_missing(self, endpoint, seen, sent_at, now):
        """Release the tasks whose runs are missing from the endpoint's report.

        The report must have all ends: a run that it does not list may have ended.
        """
        for task in list(endpoint.tasks.values()):
            if task.name in seen:
                continue
            if task.state is TaskState.RUNNING and task.started_at < sent_at:
                self.lose_run(task, "missing", now)
            elif task.state is TaskState.STOPPING:
                stop = self.stops.find(endpoint, task.name, task.run)
                if stop is None or (stop.answered_at and stop.answered_at < sent_at):
                    given_up = suspects.confirm_crash(self, task)
                    self.release(task, now)
                    suspects.give_up(self, given_up)

    # Orders

    def request_stop(self, task, reason):
        """Stop the run of ``task``; its resources stay reserved until it has ended."""
        if task.state is not TaskState.STOPPING:
            task.state = TaskState.STOPPING
            self.stops.add(task.endpoint, task.name, task.run, reason)

    def mark_unconfirmed(self, task, now):
        """Stop the run of an unanswered start order, which may still be executed.

        The task stays at its endpoint until the run is reported or can no longer start.
        """
        if task.state is TaskState.UNCONFIRMED:
            return
        task.state = TaskState.UNCONFIRMED
        self.late_order_deadlines[task.name] = now + MAX_ORDER_DELAY_SECONDS
        task.pin(now, now + MAX_ORDER_DELAY_SECONDS)
        self.stops.add(task.endpoint, task.name, task.run, "unanswered")

    def start_answered(self, order, now, is_located=False):
        """Record that a start order was executed.

        If it ``is_located``, that was by the incarnation that the scheduler knows.
        """
        task = order.task
        self.confirm_start(task.job)
        current = task.endpoint is order.endpoint and task.run == order.run
        if current:
            task.has_run = True
        if current and task.state is TaskState.STARTING:
            task.state = TaskState.RUNNING
            task.started_at = now
            task.is_located = is_located

    def confirm_start(self, job):
        """Record that a run of ``job`` has started, whatever became of it."""
        if not job.has_started and not job.ended:
            job.has_started = True
            self.mark_changed(job)

    def start_refused(self, order, now, wait=0.0):
        """Record that a start order had no effect, and never will have."""
        task = order.task
        task.settle_start(order.endpoint, order.run)
        if task.endpoint is order.endpoint and task.run == order.run:
            suspects.withdraw_unsettled(self, task)
            self.release(task, now)
            task.not_before = now + wait

    def start_unanswered(self, order, now):
        """Record that a start order may have been executed or may be later."""
        task = order.task
        current = task.endpoint is order.endpoint and task.run == order.run
        if current and task.state is TaskState.STARTING:
            self.mark_unconfirmed(task, now)

    def stop_answered(self, order, now):
        """Record that an endpoint refuses a run from now on and is ending it."""
        stop = self.stops.find(order.endpoint, order.task, order.run)
        # Until an incarnation has reported, the answer may be that of an earlier one.
        if stop is None or order.endpoint.clock_ms is None:
            return
        # A repeated answer must not outdate the report that would release the task.
        stop.answered_at = stop.answered_at or now
        redundant = order.endpoint.redundant_runs.get((order.task, order.run))
        if redundant is not None:
            redundant.stop_answered_at = now
        task = self.find_task(order.task)
        if task is None or task.endpoint is not order.endpoint or task.run != order.run:
            self.stops.drop(order.endpoint, order.task, order.run)
            return
        if task.state is TaskState.UNCONFIRMED:
            # If the run was started, the next report lists it; if not, the task is
            # released then.
            task.state = TaskState.STOPPING
            self.late_order_deadlines.pop(task.name, None)

    def pace(self, endpoint, now):
        """Return the pace orders that keep fillers from slowing down replicas."""
        if not endpoint.info.has_known_capacity:
            return []
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
                self.request_stop(task, "paused")
        endpoint.spare_headroom = self.pressure.spare_headroom(endpoint)
        return orders

    def pace_failed(self, order):
        """Record that the pace of a run is unknown because its order failed."""
        if order.task.run == order.run:
            order.task.pace = None

    def plan(self, now, limit=None):
        """Return the start orders to send now, at most ``limit``.

        Also stops the replicas that are to move away from endpoints that leave.
        """
        with moving.hold_room(self, now, limit):
            return planning.plan(self, now, limit)

    def stop_stuck_runs(self, endpoint, seen, now):
        """Stop the runs without progress among those that the endpoint has reported.

        Their endpoint is barred for a time.
        """
        tasks = [
            task
            for task in endpoint.tasks.values()
            if task.name in seen
            and task.state is TaskState.RUNNING
            and progress_policy.stuck(task, now)
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
            self.request_stop(task, "stuck")

    # Changes to be stored

    def drain_changes(self):
        """Return the changed jobs, and the ends of runs that their progress reflects.

        The ends are a list of (endpoint, ``born_ms``, number), to be passed to
        `mark_stored` only once all jobs are stored.  Jobs whose write failed are to be
        passed to `requeue_changes`.
        """
        jobs = list(self.changed.values())
        self.changed = {}
        self.urgent = False
        ends = [
            (endpoint, endpoint.info.born_ms, endpoint.last_processed_end)
            for endpoint in self.endpoints.values()
            if endpoint.has_unstored_ends
        ]
        return jobs, ends

    def mark_stored(self, records, ends):
        """Record that ``records``, pairs of (job, `Progress`), are stored."""
        for job, progress in records:
            job.domains |= set(progress.domains)
            job.requested_domains -= job.domains
            job.stored_crashes = progress.crashes
        for endpoint, born_ms, number in ends:
            if endpoint.info.born_ms == born_ms:
                endpoint.last_acknowledged_end = max(
                    endpoint.last_acknowledged_end, number
                )

    def requeue_changes(self, jobs):
        """Schedule ``jobs`` to be stored again after a failed write."""
        for job in jobs:
            self.changed.setdefault(job.id, job)
        self.urgent = True

    def pending_job_counts(self):
        """Return the number of jobs of which no run is known to have started, by queue.

        A start order may be lost, or executed seconds later.
        """
        counts = {}
        for job in self.active.values():
            if not job.has_started:
                counts[job.spec.queue] = counts.get(job.spec.queue, 0) + 1
        return counts
