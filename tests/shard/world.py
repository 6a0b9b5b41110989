"""A model of the whole system around the real shard code, run call by call."""

import itertools

from clementinebay import config, errors
from clementinebay.policy import attempts
from clementinebay.policy.attempts import Action
from clementinebay.shard import snapshot
from clementinebay.shard.wire import ttypes as wire
from clementinebay.store.keyspace import KeySpace
from tests.shard.limits import (
    CAPACITY_MILLI,
    DOMAINS,
    GRACE_SECONDS,
    SKEW_SECONDS,
)
from tests.shard.modeldaemon import Daemon, Message
from tests.shard.modelendpoint import ModelEndpoint
from tests.shard.observer import Observer


class World:
    """The modelled system: platform, network, daemons, endpoints; and invariants."""

    def __init__(self):
        self.time = 1_000_000.0
        self.space = KeySpace(self)
        self.late_writes = []
        self.network = []
        self.closed_jobs = set()
        self.claimed_keys = set()
        self.claimants = itertools.count()
        self.unlisted = set()
        self.leaving = set()
        self.document = config.Document(config.Head(), {})
        self.out_since = {}
        self.task_totals = {}
        self.submissions = {}
        self.cancelled = set()
        self.best_checkpoints = {}
        self.forgotten_done_counts = {}
        self.batch_texts = {}
        self.snapshots = {}
        names = [f"{d}{n}" for d in DOMAINS for n in range(2)]
        self.endpoints = {
            name: ModelEndpoint(self, name, SKEW_SECONDS * (number % 2))
            for number, name in enumerate(names)
        }
        self.observers = {domain: Observer(self, domain) for domain in DOMAINS}
        self.daemons = [
            Daemon(self, f"{name}-entry", SKEW_SECONDS * (1 - number % 2))
            for number, name in enumerate(names)
        ]

    def now(self):
        return self.time

    def listed_vms(self, domain):
        return [
            endpoint.vm()
            for endpoint in self.endpoints.values()
            if endpoint.domain == domain and endpoint.name not in self.unlisted
        ]

    def change_domain(self, domain, out):
        revision = self.document.revision + 1
        sections = dict(self.document.head.sections)
        sections[f"domain:{domain}"] = config.SectionRef("d", revision)
        texts = dict(self.document.texts)
        texts[f"domain:{domain}"] = f"state = {'out' if out else 'in'}\n"
        self.document = config.Document(config.Head(revision, sections), texts)
        self.out_since.pop(domain, None)
        if out:
            self.out_since[domain] = self.time

    def send(self, daemon, order):
        """Add a daemon's order to the network."""
        start = order.action == Action.START
        kind = "start" if start else "stop"
        message = Message(daemon, order.endpoint, order.address, kind)
        if start:
            message.call = lambda endpoint: endpoint.start(order)
        else:
            message.call = lambda endpoint: endpoint.stop(order.key[2:])
        message.on_report = lambda report: daemon.orders.process_report(
            order.endpoint, report
        )
        self.network.append(message)

    def deliver(self, message, answered=True):
        """Deliver a message, and its response if the sender has not restarted."""
        endpoint = self.endpoints[message.endpoint]
        if endpoint.address != message.address:
            return
        try:
            report = message.call(endpoint)
        except errors.EndpointRefusedError:
            report = None
        if (
            answered
            and report
            and message.sender_incarnation == message.daemon.incarnation
        ):
            message.on_report(report)
        self.check()

    def advance(self, seconds):
        self.time += seconds
        for endpoint in self.endpoints.values():
            endpoint.expire()
        self.check()

    # Invariants

    def record_claim(self, key):
        assert key not in self.claimed_keys, f"key {key} was claimed twice"
        self.claimed_keys.add(key)

    def check_start(self, endpoint, order):
        since = self.out_since.get(endpoint.domain)
        late = (
            since is not None and self.time > since + GRACE_SECONDS + 2 * SKEW_SECONDS
        )
        assert not late, f"{order.key} starts in a domain that is out"
        task = (order.spec.origin or order.spec.id, order.index)
        checkpoint = int(order.checkpoint or 0)
        assert checkpoint >= self.best_checkpoints.get(task, 0), (
            f"{task} lost its checkpoint"
        )
        self.best_checkpoints[task] = checkpoint

    def check_acknowledged(self, endpoint, key):
        state = self.observers[endpoint.domain].state
        has_ended = key[0] not in state.jobs or attempts.is_over(state, key)
        assert has_ended, f"the end of {key} was acknowledged and is not in the log"

    def check(self):
        for observer in self.observers.values():
            observer.observe()
        self.check_endpoints()
        for daemon in self.daemons:
            for domain, log in daemon.logs.items():
                index = log.state.index
                if index and daemon.compared_indexes.get(domain) != index:
                    daemon.compared_indexes[domain] = index
                    actual = snapshot.take(log.state)
                    image = self.snapshots[(domain, index)]
                    assert actual == image, f"{daemon.name} differs in {domain}"
        for origin, total in self.task_totals.items():
            self.check_total(origin, total)

    def check_endpoints(self):
        seen = {}
        for endpoint in self.endpoints.values():
            running = endpoint.running()
            used = sum(run.order.spec.size.processors_milli for run in running)
            known = self.observers[endpoint.domain].state.endpoints.get(endpoint.name)
            size = known.seen.size.processors_milli if known else CAPACITY_MILLI
            if size == endpoint.processors and not (known and known.shrunk):
                endpoint.allowed_processors = size
            assert used <= endpoint.allowed_processors, (
                f"{endpoint.name} is over-committed"
            )
            for run in running:
                spec = run.order.spec
                if spec.workload == wire.Workload.BATCH:
                    task = (spec.origin or spec.id, run.order.index)
                    assert task not in seen, f"{task} runs twice"
                    seen[task] = endpoint.name

    def check_total(self, origin, total):
        """Check that every task exists once and is counted as done at most once."""
        count = self.forgotten_done_counts.get(origin, 0)
        for observer in self.observers.values():
            state = observer.state
            for part in state.parts.get(origin, ()):
                job = state.jobs[part]
                count += job.done + len(job.tasks) + job.unbound_count
            for part, outgoing in state.outbox.items():
                delivered_parts = self.observers[outgoing.target].submitted
                if outgoing.spec.origin == origin and part not in delivered_parts:
                    count += outgoing.spec.count
        if origin in self.cancelled:
            assert count <= total, f"{origin} has too many tasks"
        else:
            assert count == total, f"{origin} has {count} tasks of {total}"
