"""Random runs of the model, in which calls may fail and messages and clocks may lag."""

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from clementinebay import errors
from clementinebay.shard.wire import ttypes as wire
from tests.shard import limits, world
from tests.shard.situations import DAEMONS, ENDPOINTS, FaultScenarios

#: Outcomes of calls to the store; most succeed.
CALL_OUTCOMES = st.sampled_from(["succeed"] * 6 + ["refuse", "lose", "late", "hold"])
OPERATIONS = ("read", "tick", "tick", "tick", "truncate_log", "deliver", "forget")
#: Rounds without faults within which all work must complete at the end of a run.
MAX_RECOVERY_ROUNDS = 150


class ShardMachine(FaultScenarios):
    """Two domains of two daemons and two endpoints each, and an operator."""

    @initialize()
    def set_up(self):
        self.world = world.World()
        for daemon in self.world.daemons:
            daemon.load_config_and_list()
            daemon.begin_operation(daemon.read())
            daemon.finish_operation()
        self.submit_job(self.daemon(0), 3, False)
        self.submit_job(self.daemon(2), 2, True)
        for _round in range(2):
            self.let_daemon_work(0)
            self.let_daemon_work(2)

    def daemon(self, number):
        return self.world.daemons[number]

    # The operator and clients

    @precondition(lambda self: len(self.world.task_totals) < 4)
    @rule(daemon=DAEMONS, count=st.integers(1, 3), service=st.booleans())
    def submit(self, daemon, count, service):
        self.submit_job(self.daemon(daemon), count, service)

    @precondition(lambda self: self.world.submissions)
    @rule(swap=st.booleans(), number=st.integers(0, 99))
    def submit_again(self, swap, number):
        """Repeat a submission, like a client whose response was lost."""
        names = sorted(self.world.submissions)
        domain, spec = self.world.submissions[names[number % len(names)]]
        daemon = self.pair(domain, swap)[0]
        daemon.begin_operation(daemon.submit(spec))

    @rule(daemon=DAEMONS, number=st.integers(0, 3))
    def cancel(self, daemon, number):
        name = f"job-{number}"
        if number % 2 and name in self.world.task_totals:
            self.world.cancelled.add(name)
            self.daemon(daemon).begin_operation(self.daemon(daemon).cancel(name))

    @rule(daemon=DAEMONS, key=st.integers(0, 3))
    def claim(self, daemon, key):
        self.daemon(daemon).begin_operation(self.daemon(daemon).claim(f"key-{key}"))

    @rule(domain=st.sampled_from(limits.DOMAINS), out=st.booleans())
    def change_domain(self, domain, out):
        self.world.change_domain(domain, out)

    # Daemons

    @rule(daemon=DAEMONS, name=st.sampled_from(OPERATIONS))
    def start_operation(self, daemon, name):
        daemon = self.daemon(daemon)
        daemon.begin_operation(getattr(daemon, name)())

    @rule(daemon=DAEMONS, outcomes=st.lists(CALL_OUTCOMES, min_size=1, max_size=6))
    def step(self, daemon, outcomes):
        for outcome in outcomes:
            self.daemon(daemon).step(outcome)

    @rule(daemon=DAEMONS, shift=st.integers(0, 3))
    def whole_tick(self, daemon, shift):
        daemon = self.daemon(daemon)
        daemon.finish_operation()
        daemon.begin_operation(daemon.tick(shift))
        daemon.finish_operation()
        daemon.orders.reconcile()

    @rule(daemon=DAEMONS)
    def let_daemon_work(self, daemon):
        """Run one complete work cycle of a daemon without faults."""
        daemon = self.daemon(daemon)
        daemon.finish_operation()
        daemon.load_config_and_list()
        for operation in (daemon.read, daemon.tick):
            daemon.begin_operation(operation())
            daemon.finish_operation()
        daemon.orders.reconcile()
        for endpoint in self.world.endpoints:
            daemon.renew(endpoint)
        self.deliver_all_messages()

    @rule(daemon=DAEMONS)
    def load_config_and_list(self, daemon):
        self.daemon(daemon).load_config_and_list()

    @rule(daemon=DAEMONS)
    def reconcile(self, daemon):
        self.daemon(daemon).orders.reconcile()

    @rule(daemon=DAEMONS, endpoint=ENDPOINTS)
    def renew(self, daemon, endpoint):
        self.daemon(daemon).renew(endpoint)

    @rule(daemon=DAEMONS)
    def crash(self, daemon):
        daemon = self.daemon(daemon)
        if daemon.operation is not None:
            daemon.operation.close()
        daemon.crash()

    # Time, platform and network

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0, 8.0, 31.5, 32.5]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @precondition(lambda self: self.world.late_writes)
    @rule(number=st.integers(0, 99))
    def take_late_write_effect(self, number):
        late = self.world.late_writes
        try:
            late.pop(number % len(late))()
        except errors.PlatformError:
            pass
        self.world.check()

    @precondition(lambda self: self.world.network)
    @rule(
        number=st.integers(0, 99),
        is_duplicated=st.sampled_from([False, False, True]),
        answered=st.sampled_from([True, True, False]),
    )
    def deliver_message(self, number, is_duplicated, answered):
        network = self.world.network
        message = network[number % len(network)]
        if not is_duplicated:
            network.remove(message)
        self.world.deliver(message, answered)

    @precondition(lambda self: self.world.network)
    @rule()
    def deliver_all(self):
        self.deliver_all_messages()

    # Endpoints

    @rule(endpoints=st.sets(ENDPOINTS))
    def leave_unlisted(self, endpoints):
        self.world.unlisted = set(endpoints)

    @rule(endpoint=ENDPOINTS)
    def leave_or_return(self, endpoint):
        self.world.leaving ^= {endpoint}

    @rule(endpoint=ENDPOINTS)
    def restart(self, endpoint):
        self.world.endpoints[endpoint].restart()

    @rule(endpoint=ENDPOINTS, processors=st.sampled_from([1000, 2000, 2000]))
    def resize(self, endpoint, processors):
        endpoint = self.world.endpoints[endpoint]
        endpoint.allowed_processors = max(endpoint.allowed_processors, processors)
        endpoint.processors = processors

    @rule(endpoint=ENDPOINTS, state=st.sampled_from(["done", "failed", "progress"]))
    def work_on_tasks(self, endpoint, state):
        endpoint = self.world.endpoints[endpoint]
        for run in endpoint.running():
            run.progress += 1
            service = run.order.spec.workload == wire.Workload.SERVICE
            if state != "progress" and not (service and state == "done"):
                endpoint.end_run(run, state)

    # End of a run: without faults, all work completes and nothing is lost

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.clear_faults()
        for _round in range(MAX_RECOVERY_ROUNDS):
            self.round()
            if self.at_rest():
                return
        raise AssertionError(f"unfinished work: {list(self.unfinished())}")

    def clear_faults(self):
        self.world.unlisted.clear()
        self.world.leaving.clear()
        for domain in limits.DOMAINS:
            self.world.change_domain(domain, False)
        for endpoint in self.world.endpoints.values():
            endpoint.allowed_processors = endpoint.processors = 2000
        for daemon in self.world.daemons:
            daemon.finish_operation()
        self.world.late_writes.clear()
        self.cancel_services()

    def cancel_services(self):
        """Cancel all services, whose replicas would occupy endpoints forever."""
        for observer in self.world.observers.values():
            state = observer.state
            for item in [*state.jobs.values(), *state.outbox.values()]:
                if item.spec.workload == wire.Workload.SERVICE:
                    self.world.cancelled.add(item.spec.origin or item.spec.id)
        daemon = self.world.daemons[0]
        # The first write may fail because the snapshot was replaced.
        for origin in sorted(self.world.cancelled) * 3:
            daemon.begin_operation(daemon.cancel(origin))
            daemon.finish_operation()

    def round(self):
        for number, daemon in enumerate(self.world.daemons):
            daemon.load_config_and_list()
            for name in ("read", "tick", "deliver"):
                daemon.begin_operation(getattr(daemon, name)())
                daemon.finish_operation()
            for endpoint in self.world.endpoints:
                daemon.renew(endpoint)
            daemon.orders.reconcile()
            self.deliver_all_messages()
            if number % 2:
                self.finish_runs()
        self.world.advance(0.5)

    def unfinished(self):
        for observer in self.world.observers.values():
            yield from observer.state.outbox
            for name, job in observer.state.jobs.items():
                if not job.ended:
                    tasks = [(t.index, t.phase) for t in job.tasks.values()]
                    yield name, job.unbound_count, tasks

    def at_rest(self):
        return not any(True for _item in self.unfinished())
