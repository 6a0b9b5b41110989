"""A daemon that cannot reach the store relays requests to the scheduler's daemon."""

import asyncio

import msgspec
import pytest

from clementinebay.services import relay
from clementinebay.workflow.jobstore import Holder
from standins.ports import free_range
from tests.platform import helpers
from tests.platform.test_path import SPEC, submit_until_accepted, wait_until_ended


async def wait_for_scheduler(kernel):
    """Wait until a daemon is the scheduler."""
    async with asyncio.timeout(10):
        while kernel.find("term").scheduler is None:
            await asyncio.sleep(0.02)


def disconnect_from_store(kernel):
    """Make the store unreachable for a daemon."""
    kernel.settings.store.address = f"127.0.0.1:{free_range(1)}"


async def start_two_daemons(installation):
    """Start the scheduler and a second daemon, then cut the second from the store."""
    first, address = await installation.start_daemon("d1")
    await wait_for_scheduler(first)
    second, other = await installation.start_daemon("d2")
    async with asyncio.timeout(10):
        while second.find("term").last_holder is None:
            await asyncio.sleep(0.02)
    await submit_until_accepted(installation, other, "/q/" + "e" * 16)
    disconnect_from_store(second)
    return first, address, second, other


async def test_job_is_accepted_shown_and_cancelled_through_the_scheduler():
    async with helpers.installation() as installation:
        first, address, _second, other = await start_two_daemons(installation)
        answer = await installation.call(other, "POST", helpers.JOB, SPEC)
        assert answer.status == 200
        assert await wait_until_ended(installation, address) == "completed"
        assert await wait_until_ended(installation, other) == "completed"
        again = await installation.call(other, "POST", helpers.JOB, SPEC)
        assert again.status == 200
        assert len(first.find("term").scheduler.engine.jobs) == 2
        assert (await installation.call(other, "DELETE", helpers.JOB)).status == 200
        unknown = await installation.call(other, "GET", "/q/" + "f" * 16)
        assert unknown.status == 410


async def test_job_is_refused_if_neither_daemon_has_the_store():
    async with helpers.installation() as installation:
        first, _address, _second, other = await start_two_daemons(installation)
        disconnect_from_store(first)
        answer = await installation.call(other, "POST", helpers.JOB, SPEC)
        assert answer.status == 503
        assert answer.headers["retry-after"] == "1"


async def test_relayed_request_is_not_relayed_again():
    async with helpers.installation() as installation:
        _first, _address, _second, other = await start_two_daemons(installation)
        headers = (("host", "h.example"), (relay.RELAYED_HEADER, "d3"))
        body = msgspec.json.encode(SPEC)
        answer = await installation.client.call(
            other, "POST", helpers.JOB, 5.0, body, headers
        )
        assert answer.status == 503


async def test_unanswered_relay_leaves_the_outcome_unknown_and_is_not_repeated(
    monkeypatch,
):
    """The scheduler may have stored the job, so the request must not be refused."""
    monkeypatch.setattr(relay, "RELAY_SECONDS", 0.2)

    async def silent(reader, writer):
        await reader.read(-1)
        writer.close()

    async with helpers.installation() as installation:
        _first, _address, second, other = await start_two_daemons(installation)
        port = free_range(1)
        async with await asyncio.start_server(silent, "127.0.0.1", port):
            second.find("term").last_holder.front = f"127.0.0.1:{port}"
            answer = await installation.call(other, "POST", helpers.JOB, SPEC)
            assert answer.status == 504
            answer = await installation.call(other, "POST", helpers.JOB, SPEC)
            assert answer.status == 503


@pytest.mark.parametrize("front, node", [("", "d1"), ("127.0.0.1:1", "d2")])
async def test_request_is_not_relayed_without_another_scheduler(front, node):
    assert not relay.Relay(None, "d2", None).can_relay(Holder(node, "t", front))
    assert not relay.Relay(None, "d2", None).can_relay(None)
