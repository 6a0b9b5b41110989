import asyncio

import pytest

from clementinebay import errors, metrics
from clementinebay.peer.wire import ttypes as wire
from tests.services.requestfakes import Client, RouterFixture, run_ready_tasks

REFUSED = errors.EndpointRefusedError("no")
UNREACHABLE = errors.EndpointUnreachableError("no")
LOST = errors.EndpointAnswerLostError("gone")


@pytest.mark.parametrize("error", [REFUSED, UNREACHABLE])
async def test_attempt_that_did_not_run_is_retried_at_another_replica(
    clock, store, error
):
    async with RouterFixture(clock, store, replicas=2) as fixture:
        fixture.driver.script = {"e0": error}
        assert [await fixture.outcome() for _n in range(8)] == ["done"] * 8


async def test_outcome_is_not_run_if_all_replicas_refuse(clock, store):
    async with RouterFixture(clock, store, replicas=2) as fixture:
        fixture.driver.script = {"e0": REFUSED, "e1": UNREACHABLE}
        assert await fixture.outcome() == "not-run"
        assert sorted(fixture.driver.requested) == ["e0", "e1"]


async def test_a_lost_answer_is_unknown_and_not_repeated(clock, store):
    async with RouterFixture(clock, store, replicas=2) as fixture:
        fixture.driver.script = {"e0": LOST, "e1": LOST}
        assert await fixture.outcome() == "unknown"
        assert len(fixture.driver.requested) == 1


@pytest.mark.parametrize("second", [REFUSED, UNREACHABLE])
async def test_a_refusal_after_a_lost_answer_stays_unknown(clock, store, second):
    async with RouterFixture(clock, store, replicas=2) as fixture:
        errors_left = [LOST, second]

        async def fail(_body):
            raise errors_left.pop(0)

        fixture.driver.script = {"e0": fail, "e1": fail}
        assert await fixture.outcome(repeatable=True) == "unknown"
        assert not errors_left


async def test_request_past_its_deadline_is_not_sent(clock, store):
    async with RouterFixture(clock, store) as fixture:
        assert await fixture.outcome(deadline=clock.now()) == "not-run"
        assert not fixture.driver.requested


@pytest.mark.parametrize(
    ("result", "outcome"),
    [
        (errors.PeerUnreachableError("down"), "not-run"),
        (errors.FrameTooLargeError("large"), "not-run"),
        (errors.OverloadedError("full"), "not-run"),
        (errors.PeerAnswerLostError("cut"), "unknown"),
        (errors.OutcomeUnknownError("lost"), "unknown"),
        (errors.ClementineError("of a newer kind"), "unknown"),
    ],
)
async def test_outcome_of_a_failed_forward(clock, store, result, outcome):
    clients = {"b-0": Client(result)}
    async with RouterFixture(clock, store, replicas=0, peers=clients) as fixture:
        assert await fixture.outcome() == outcome


async def test_forward_that_did_not_run_is_retried_at_another_peer(clock, store):
    clients = {
        "b-0": Client(errors.DrainingError("leaving")),
        "b-1": Client(wire.ForwardReply(200, b"tank 7")),
    }
    async with RouterFixture(clock, store, replicas=0, peers=clients) as fixture:
        assert [await fixture.outcome() for _n in range(5)] == ["done"] * 5


async def test_forwarded_request_is_neither_claimed_nor_forwarded_again(clock, store):
    clients = {"b-0": Client(wire.ForwardReply(200, b""))}
    async with RouterFixture(clock, store, replicas=0, peers=clients) as fixture:
        message = wire.Forward("call-in", "c", "r1", False, "crew", b"x", 0)
        envelope = wire.Envelope(1, wire.Kind.FORWARD, clock.now() + 5.0, "", b"")
        with pytest.raises(errors.NotRunError):
            await fixture.router.on_forward(message, envelope)
        assert not clients["b-0"].calls
        entries, _revision = await store.scan("claim/", "claim0")
        assert not entries


async def test_a_key_runs_once(clock, store):
    async with RouterFixture(clock, store, replicas=2) as fixture:
        outcomes = [await fixture.outcome(key="crew", id=f"r{n}") for n in range(3)]
        assert outcomes == ["done", "not-run", "not-run"]
        assert len(fixture.driver.requested) == 1


async def test_a_key_that_did_not_run_can_be_used_again(clock, store):
    async with RouterFixture(clock, store, replicas=1) as fixture:
        fixture.driver.script = {"e0": REFUSED}
        assert await fixture.outcome(key="crew", id="r1") == "not-run"
        await run_ready_tasks()
        fixture.driver.script = {}
        assert await fixture.outcome(key="crew", id="r2") == "done"


async def test_a_key_whose_outcome_is_unknown_stays_used(clock, store):
    async with RouterFixture(clock, store, replicas=1) as fixture:
        fixture.driver.script = {"e0": LOST}
        assert await fixture.outcome(key="crew", id="r1") == "unknown"
        await run_ready_tasks()
        fixture.driver.script = {}
        assert await fixture.outcome(key="crew", id="r2") == "not-run"


async def test_a_key_is_not_sent_again_even_if_repeatable(clock, store):
    before = metrics.INVARIANTS_BROKEN._value.get()
    async with RouterFixture(clock, store, replicas=2) as fixture:
        fixture.driver.script = {"e0": LOST, "e1": LOST}
        assert await fixture.outcome(key="crew", repeatable=True) == "unknown"
        assert len(fixture.driver.requested) == 1
    assert metrics.INVARIANTS_BROKEN._value.get() == before + 1


async def test_a_ticket_works_without_the_platform(clock, store):
    async def down(*_args):
        raise errors.PlatformUnavailableError("down")

    store.commit = down
    async with RouterFixture(clock, store, replicas=1) as fixture:
        assert await fixture.outcome(key="crew") == "not-run"
        key = fixture.router.tickets.issue(clock.now() + 60, clock.now())
        outcomes = [await fixture.outcome(key=key, id=f"r{n}") for n in range(2)]
        assert outcomes == ["done", "not-run"]


async def test_ticket_of_an_unreachable_issuer_is_not_run(clock, store):
    clients = {"b-0": Client(errors.PeerAnswerLostError("cut"))}
    async with RouterFixture(clock, store, replicas=1, peers=clients) as fixture:
        assert await fixture.outcome(key="ticket:b-0:1:2") == "not-run"
        assert await fixture.outcome(key="ticket:gone:1:2") == "not-run"
        assert not fixture.driver.requested


async def test_requests_in_flight_stay_within_the_share(clock, store):
    async with RouterFixture(
        clock, store, replicas=2, router_slot_percent=100
    ) as fixture:
        fixture.driver.gate = asyncio.Event()
        sent = [asyncio.create_task(fixture.outcome()) for _n in range(60)]
        await run_ready_tasks()
        assert fixture.driver.max_in_flight == {"e0": 8, "e1": 8}
        fixture.driver.gate.set()
        assert set(await asyncio.gather(*sent)) == {"done"}
        assert fixture.driver.max_in_flight == {"e0": 8, "e1": 8}
        assert all(not load.in_flight for load in fixture.router.loads.values())


async def test_queued_request_past_its_deadline_is_not_run(clock, store):
    async with RouterFixture(
        clock, store, replicas=1, router_slot_percent=125
    ) as fixture:
        fixture.driver.gate = asyncio.Event()
        sent = [asyncio.create_task(fixture.outcome()) for _n in range(30)]
        await run_ready_tasks()
        clock.advance(6.0)
        fixture.router.service_queue("call-in").expire()
        fixture.driver.gate.set()
        outcomes = await asyncio.gather(*sent)
        assert outcomes.count("done") == 10
        assert outcomes.count("not-run") == 20


async def test_lagging_loop_refuses_the_client_with_most_requests(clock, store):
    async with RouterFixture(clock, store, replicas=1) as fixture:
        fixture.driver.gate = asyncio.Event()
        flooding_requests = [
            asyncio.create_task(fixture.outcome(client="flood")) for _n in range(60)
        ]
        quiet = asyncio.create_task(fixture.outcome(client="quiet"))
        await run_ready_tasks()
        for _round in range(20):
            fixture.router.clients.adapt(0.1, clock.now())
        requested = len(fixture.driver.requested)
        assert await fixture.outcome(client="flood") == "not-run"
        assert len(fixture.driver.requested) == requested
        fixture.driver.gate.set()
        assert await fixture.outcome(client="quiet") == "done"
        assert set(await asyncio.gather(quiet, *flooding_requests)) == {"done"}
        assert not any(usage.held for usage in fixture.router.clients.clients.values())


async def test_queued_request_too_close_to_its_deadline_is_not_sent(clock, store):
    async with RouterFixture(clock, store, replicas=1) as fixture:
        queue = fixture.router.service_queue("call-in")
        queue.load.observe(0.5, clock.now())
        fixture.driver.gate = asyncio.Event()
        sent = [asyncio.create_task(fixture.outcome()) for _n in range(9)]
        await run_ready_tasks()
        clock.advance(4.6)
        queue.load.observe(0.5, clock.now())
        fixture.driver.gate.set()
        outcomes = await asyncio.gather(*sent)
        assert outcomes.count("not-run") == 1
        assert len(fixture.driver.requested) == 8


async def test_slow_request_is_hedged_and_slots_are_released(clock, store):
    async with RouterFixture(clock, store, replicas=2) as fixture:
        hanging = asyncio.Event()

        async def hang(_body):
            await hanging.wait()

        fixture.router.hedges["call-in"].seconds = 0.01
        fixture.router.service_queue("call-in").hedges.tokens = 1.0
        fixture.router.loads["e1"].observe(9.0, clock.now())
        fixture.driver.script = {"e0": hang}
        assert await fixture.outcome(repeatable=True) == "done"
        await run_ready_tasks()
        assert "e0" not in fixture.router.ejector.known
        assert all(not load.in_flight for load in fixture.router.loads.values())


async def test_retry_budget_limits_attempts_during_an_outage(clock, store):
    async with RouterFixture(clock, store, replicas=4) as fixture:
        fixture.driver.script = {f"e{n}": UNREACHABLE for n in range(4)}
        for number in range(1000):
            clock.advance(0.005)
            assert await fixture.outcome(id=f"r{number}") == "not-run"
        assert len(fixture.driver.requested) < 1.2 * 1000
        fixture.driver.script = {}
        assert await fixture.outcome() == "done"


async def test_draining_daemon_refuses_requests(clock, store):
    async with RouterFixture(clock, store) as fixture:
        await fixture.router.drain(clock.now() + 1.0)
        assert await fixture.outcome() == "not-run"
        assert not fixture.driver.requested
