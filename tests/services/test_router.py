import asyncio

import pytest

from clementinebay import errors, metrics
from clementinebay.peer.wire import ttypes as wire
from tests.services.requestfakes import Bed, Client, settle

REFUSED = errors.EndpointRefusedError("no")
UNREACHABLE = errors.EndpointUnreachableError("no")
LOST = errors.EndpointAnswerLostError("gone")


@pytest.mark.parametrize("error", [REFUSED, UNREACHABLE])
async def test_an_attempt_that_did_not_run_is_made_elsewhere(clock, store, error):
    async with Bed(clock, store, replicas=2) as bed:
        bed.driver.script = {"e0": error}
        assert [await bed.outcome() for _n in range(8)] == ["done"] * 8


async def test_all_refused_is_not_run(clock, store):
    async with Bed(clock, store, replicas=2) as bed:
        bed.driver.script = {"e0": REFUSED, "e1": UNREACHABLE}
        assert await bed.outcome() == "not-run"
        assert sorted(bed.driver.asked) == ["e0", "e1"]


async def test_a_lost_answer_is_unknown_and_not_repeated(clock, store):
    async with Bed(clock, store, replicas=2) as bed:
        bed.driver.script = {"e0": LOST, "e1": LOST}
        assert await bed.outcome() == "unknown"
        assert len(bed.driver.asked) == 1


@pytest.mark.parametrize("second", [REFUSED, UNREACHABLE])
async def test_a_refusal_after_a_lost_answer_stays_unknown(clock, store, second):
    async with Bed(clock, store, replicas=2) as bed:
        errors_left = [LOST, second]

        async def fail(_body):
            raise errors_left.pop(0)

        bed.driver.script = {"e0": fail, "e1": fail}
        assert await bed.outcome(repeatable=True) == "unknown"
        assert not errors_left


async def test_a_passed_deadline_sends_nothing(clock, store):
    async with Bed(clock, store) as bed:
        assert await bed.outcome(deadline=clock.now()) == "not-run"
        assert not bed.driver.asked


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
    async with Bed(clock, store, replicas=0, peers=clients) as bed:
        assert await bed.outcome() == outcome


async def test_a_not_run_of_one_peer_is_tried_at_another(clock, store):
    clients = {
        "b-0": Client(errors.DrainingError("leaving")),
        "b-1": Client(wire.ForwardReply(200, b"tank 7")),
    }
    async with Bed(clock, store, replicas=0, peers=clients) as bed:
        assert [await bed.outcome() for _n in range(5)] == ["done"] * 5


async def test_a_forwarded_request_is_neither_claimed_nor_forwarded(clock, store):
    clients = {"b-0": Client(wire.ForwardReply(200, b""))}
    async with Bed(clock, store, replicas=0, peers=clients) as bed:
        message = wire.Forward("call-in", "c", "r1", False, "crew", b"x", 0)
        envelope = wire.Envelope(1, wire.Kind.FORWARD, clock.now() + 5.0, "", b"")
        with pytest.raises(errors.NotRunError):
            await bed.router.on_forward(message, envelope)
        assert not clients["b-0"].calls
        entries, _revision = await store.scan("claim/", "claim0")
        assert not entries


async def test_a_key_runs_once(clock, store):
    async with Bed(clock, store, replicas=2) as bed:
        outcomes = [await bed.outcome(key="crew", id=f"r{n}") for n in range(3)]
        assert outcomes == ["done", "not-run", "not-run"]
        assert len(bed.driver.asked) == 1


async def test_a_key_that_did_not_run_can_be_used_again(clock, store):
    async with Bed(clock, store, replicas=1) as bed:
        bed.driver.script = {"e0": REFUSED}
        assert await bed.outcome(key="crew", id="r1") == "not-run"
        await settle()
        bed.driver.script = {}
        assert await bed.outcome(key="crew", id="r2") == "done"


async def test_a_key_whose_outcome_is_unknown_stays_used(clock, store):
    async with Bed(clock, store, replicas=1) as bed:
        bed.driver.script = {"e0": LOST}
        assert await bed.outcome(key="crew", id="r1") == "unknown"
        await settle()
        bed.driver.script = {}
        assert await bed.outcome(key="crew", id="r2") == "not-run"


async def test_a_key_is_not_sent_again_even_if_repeatable(clock, store):
    before = metrics.INVARIANTS_BROKEN._value.get()
    async with Bed(clock, store, replicas=2) as bed:
        bed.driver.script = {"e0": LOST, "e1": LOST}
        assert await bed.outcome(key="crew", repeatable=True) == "unknown"
        assert len(bed.driver.asked) == 1
    assert metrics.INVARIANTS_BROKEN._value.get() == before + 1


async def test_a_ticket_works_without_the_platform(clock, store):
    async def down(*_args):
        raise errors.PlatformUnavailableError("down")

    store.commit = down
    async with Bed(clock, store, replicas=1) as bed:
        assert await bed.outcome(key="crew") == "not-run"
        key = bed.router.tickets.issue(clock.now() + 60, clock.now())
        outcomes = [await bed.outcome(key=key, id=f"r{n}") for n in range(2)]
        assert outcomes == ["done", "not-run"]


async def test_a_ticket_of_a_silent_issuer_is_not_run(clock, store):
    clients = {"b-0": Client(errors.PeerAnswerLostError("cut"))}
    async with Bed(clock, store, replicas=1, peers=clients) as bed:
        assert await bed.outcome(key="ticket:b-0:1:2") == "not-run"
        assert await bed.outcome(key="ticket:gone:1:2") == "not-run"
        assert not bed.driver.asked


async def test_requests_in_flight_stay_within_the_share(clock, store):
    async with Bed(clock, store, replicas=2, router_slot_percent=100) as bed:
        bed.driver.held = asyncio.Event()
        sent = [asyncio.create_task(bed.outcome()) for _n in range(60)]
        await settle()
        assert bed.driver.most == {"e0": 8, "e1": 8}
        bed.driver.held.set()
        assert set(await asyncio.gather(*sent)) == {"done"}
        assert bed.driver.most == {"e0": 8, "e1": 8}
        assert all(not load.in_flight for load in bed.router.loads.values())


async def test_what_waits_too_long_is_not_run(clock, store):
    async with Bed(clock, store, replicas=1, router_slot_percent=125) as bed:
        bed.driver.held = asyncio.Event()
        sent = [asyncio.create_task(bed.outcome()) for _n in range(30)]
        await settle()
        clock.advance(6.0)
        bed.router.lane("call-in").expire()
        bed.driver.held.set()
        outcomes = await asyncio.gather(*sent)
        assert outcomes.count("done") == 10
        assert outcomes.count("not-run") == 20


async def test_a_late_loop_refuses_the_client_that_floods(clock, store):
    async with Bed(clock, store, replicas=1) as bed:
        bed.driver.held = asyncio.Event()
        flood = [asyncio.create_task(bed.outcome(client="flood")) for _n in range(60)]
        quiet = asyncio.create_task(bed.outcome(client="quiet"))
        await settle()
        for _look in range(20):
            bed.router.clients.adapt(0.1, clock.now())
        asked = len(bed.driver.asked)
        assert await bed.outcome(client="flood") == "not-run"
        assert len(bed.driver.asked) == asked
        bed.driver.held.set()
        assert await bed.outcome(client="quiet") == "done"
        assert set(await asyncio.gather(quiet, *flood)) == {"done"}
        assert not any(usage.held for usage in bed.router.clients.clients.values())


async def test_what_cannot_end_in_time_any_more_is_not_sent(clock, store):
    async with Bed(clock, store, replicas=1) as bed:
        lane = bed.router.lane("call-in")
        lane.load.observe(0.5, clock.now())
        bed.driver.held = asyncio.Event()
        sent = [asyncio.create_task(bed.outcome()) for _n in range(9)]
        await settle()
        clock.advance(4.6)
        lane.load.observe(0.5, clock.now())
        bed.driver.held.set()
        outcomes = await asyncio.gather(*sent)
        assert outcomes.count("not-run") == 1
        assert len(bed.driver.asked) == 8


async def test_a_late_answer_is_hedged_and_nothing_leaks(clock, store):
    async with Bed(clock, store, replicas=2) as bed:
        hanging = asyncio.Event()

        async def hang(_body):
            await hanging.wait()

        bed.router.hedges["call-in"].seconds = 0.01
        bed.router.lane("call-in").hedges.tokens = 1.0
        bed.router.loads["e1"].observe(9.0, clock.now())
        bed.driver.script = {"e0": hang}
        assert await bed.outcome(repeatable=True) == "done"
        await settle()
        assert "e0" not in bed.router.ejector.known
        assert all(not load.in_flight for load in bed.router.loads.values())


async def test_an_outage_of_endpoints_offers_few_more_than_arrive(clock, store):
    async with Bed(clock, store, replicas=4) as bed:
        bed.driver.script = {f"e{n}": UNREACHABLE for n in range(4)}
        for number in range(1000):
            clock.advance(0.005)
            assert await bed.outcome(id=f"r{number}") == "not-run"
        assert len(bed.driver.asked) < 1.2 * 1000
        bed.driver.script = {}
        assert await bed.outcome() == "done"


async def test_a_stopping_daemon_refuses(clock, store):
    async with Bed(clock, store) as bed:
        await bed.router.drain(clock.now() + 1.0)
        assert await bed.outcome() == "not-run"
        assert not bed.driver.asked
