"""Jobs from submission to their final state, over the platform's protocol."""

import asyncio

import msgspec
import pytest

from clementinebay.workflow import schedule
from clementinebay.workflow.engine import Engine
from clementinebay.workflow.sending import Sender
from tests.platform import helpers

STEPS = [{"count": 2, "cpu": 500, "mem_mb": 10}, {"count": 1, "cpu": 500, "after": [0]}]
SPEC = {"spec": "text", "steps": STEPS}


async def state_of(stand, address, path=helpers.JOB):
    """Return the state of a job as shown by a daemon."""
    answer = await stand.call(address, "GET", path)
    assert answer.status == 200
    return msgspec.json.decode(answer.body)["state"]


async def until_ended(stand, address, path=helpers.JOB, seconds=10):
    """Wait until a job has ended; return its state."""
    async with asyncio.timeout(seconds):
        while True:
            state = await state_of(stand, address, path)
            if state in ("completed", "failed", "cancelled"):
                return state
            await asyncio.sleep(0.05)


async def until_accepted(stand, address, path=helpers.JOB, body=SPEC, seconds=5):
    """Submit a job repeatedly until the daemon accepts it."""
    async with asyncio.timeout(seconds):
        while True:
            answer = await stand.call(address, "POST", path, body)
            if answer.status == 200:
                return
            assert answer.status == 503
            assert answer.headers["retry-after"]
            await asyncio.sleep(0.05)


async def test_job_runs_step_by_step_and_is_shown_as_completed():
    async with helpers.installation() as stand:
        _kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        assert await until_ended(stand, address) == "completed"
        tasks = [task for task, _run in stand.endpoints[0].starts]
        id = helpers.JOB[3:]
        assert sorted(tasks[:2]) == [f"{id}.0.0.0", f"{id}.0.0.1"]
        assert tasks[2:] == [f"{id}.0.1.0"]


async def test_same_id_at_two_daemons_is_one_job():
    async with helpers.installation() as stand:
        _kernel, first = await stand.daemon("d1", "a")
        _kernel, second = await stand.daemon("d2", "b")
        await until_accepted(stand, first)
        await until_accepted(stand, second)
        assert await until_ended(stand, second) == "completed"
        await until_accepted(stand, first)
        await asyncio.sleep(0.3)
        assert len(stand.endpoints[0].starts) == 3


async def test_refused_submission_never_runs():
    async with helpers.installation() as stand:
        kernel, address = await stand.daemon()
        await kernel.find("queues").mirror.loaded.wait()
        stand.platform.error_status = 503
        answer = await stand.call(address, "POST", helpers.JOB, SPEC)
        assert answer.status == 503
        stand.platform.error_status = 0
        await asyncio.sleep(0.5)
        assert stand.endpoints[0].starts == []


async def test_store_that_is_away_is_not_asked_for_each_job():
    async with helpers.installation() as stand:
        kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        stand.platform.error_status = 503
        assert (await stand.call(address, "POST", helpers.JOB, SPEC)).status == 503
        before = stand.platform.calls.count(("POST", "/kv-txn"))
        for _again in range(5):
            answer = await stand.call(address, "POST", helpers.JOB, SPEC)
            assert answer.status == 503
        assert stand.platform.calls.count(("POST", "/kv-txn")) == before
        stand.platform.error_status = 0
        await until_accepted(stand, address, "/q/" + "b" * 16)


async def test_silent_store_is_answered_before_the_client_gives_up(monkeypatch):
    async with helpers.installation() as stand:
        kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        await until_ended(stand, address)
        stand.platform.unanswered_writes = 100
        began = asyncio.get_running_loop().time()
        answer = await stand.call(address, "POST", "/q/" + "c" * 16, SPEC)
        took = asyncio.get_running_loop().time() - began
        assert (answer.status, took < 3.0) in ((200, True), (504, True))


async def test_lost_answer_of_a_submission_is_settled():
    async with helpers.installation() as stand:
        kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        await until_ended(stand, address)
        stand.platform.unanswered_writes = 1
        other = "/q/" + "f" * 16
        answer = await stand.call(address, "POST", other, SPEC)
        assert answer.status == 200
        assert await until_ended(stand, address, other) == "completed"


async def test_cancelled_job_is_stopped_and_stays_cancelled():
    async with helpers.installation() as stand:
        stand.endpoints[0].seconds = 30
        _kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        async with asyncio.timeout(5):
            while not stand.endpoints[0].starts:
                await asyncio.sleep(0.02)
        for _again in range(2):
            answer = await stand.call(address, "DELETE", helpers.JOB)
            assert answer.status == 200
        assert await until_ended(stand, address) == "cancelled"
        async with asyncio.timeout(3):
            while stand.endpoints[0].running:
                await asyncio.sleep(0.02)


async def test_order_without_answer_runs_once(monkeypatch):
    monkeypatch.setattr("clementinebay.platform.endpoints.ORDER_TIMEOUT_SECONDS", 0.2)
    async with helpers.installation() as stand:
        stand.endpoints[0].unanswered_starts = 2
        _kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        assert await until_ended(stand, address) == "completed"
        done = [row for row in stand.endpoints[0].starts]
        assert len({task for task, _run in done}) == 3


async def test_restarted_endpoint_obeys_a_higher_fence_in_the_same_term():
    async with helpers.installation() as stand:
        endpoint = stand.endpoints[0]
        kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        await until_ended(stand, address)
        before = endpoint.fence
        endpoint.restart()
        await stand.platform.put(f"servers/{endpoint.id}", endpoint.entry())
        other = "/q/" + "d" * 16
        await until_accepted(stand, address, other)
        assert await until_ended(stand, address, other) == "completed"
        assert endpoint.fence > before
        assert kernel.find("term").scheduler.writer.number == 0


async def test_task_that_always_fails_fails_its_job():
    async with helpers.installation() as stand:
        stand.endpoints[0].fail.add(helpers.JOB[3:] + ".0.0.0")
        _kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        assert await until_ended(stand, address) == "failed"
        runs = [r for task, r in stand.endpoints[0].starts if task.endswith(".0.0.0")]
        assert len(runs) == helpers.CONFIG["routes"][0]["attempts"]


async def test_successor_goes_on_after_the_scheduler_is_gone():
    async with helpers.installation() as stand:
        stand.endpoints[0].seconds = 1.0
        first, address = await stand.daemon("d1", "a")
        await until_accepted(stand, address)
        async with asyncio.timeout(5):
            while len(stand.endpoints[0].starts) < 2:
                await asyncio.sleep(0.02)
        _second, other = await stand.daemon("d2", "b")
        term = first.find("term")
        await term.leave()
        assert await until_ended(stand, other) == "completed"
        assert len(stand.endpoints[0].starts) == 3


@pytest.mark.parametrize("owner, name", [(Engine, "plan"), (Sender, "lease_seconds")])
async def test_failure_within_a_term_begins_the_next(monkeypatch, owner, name):
    """The next term reloads all state from the store, so no job is lost."""
    whole, failures = getattr(owner, name), []

    def broken(self, *args):
        active = getattr(self, "engine", self).active
        if active and not failures:
            failures.append(name)
            raise RuntimeError(name)
        return whole(self, *args)

    monkeypatch.setattr(owner, name, broken)
    async with helpers.installation() as stand:
        kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        assert await until_ended(stand, address) == "completed"
        assert failures
        assert kernel.find("term").scheduler.writer.number == 1


async def test_answers_to_what_cannot_be_served():
    async with helpers.installation() as stand:
        kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        assert (await stand.call(address, "POST", "/none/x", SPEC)).status == 404
        assert (
            await stand.call(address, "POST", helpers.JOB, SPEC, host="other")
        ).status == 404
        unknown = "/q/" + "e" * 16
        assert (await stand.call(address, "GET", unknown)).status == 410
        assert (await stand.call(address, "DELETE", unknown)).status == 410
        assert (await stand.call(address, "GET", "/q/zz")).status == 400
        counted = await stand.call(address, "GET", "/q/")
        assert msgspec.json.decode(counted.body) == {"pending": 0}


@pytest.mark.parametrize(
    "body",
    [
        [],
        {},
        {"spec": "x", "steps": []},
        {"spec": "x" * 4001, "steps": STEPS},
        {"spec": "x", "steps": [{"count": 0}]},
        {"spec": "x", "steps": [{"count": 1, "cpu": -1}]},
        {"spec": "x", "steps": [{"count": 1, "after": [0]}]},
        {"spec": "x", "steps": [{"count": "many"}]},
        {"spec": "x", "steps": [{"count": 1}] * 300},
    ],
)
async def test_malformed_or_oversize_submission_changes_nothing(body):
    async with helpers.installation() as stand:
        kernel, address = await stand.daemon()
        await until_accepted(stand, address, "/q/" + "a" * 16)
        answer = await stand.call(address, "POST", helpers.JOB, body)
        assert answer.status == 400
        assert answer.body
        assert (await stand.call(address, "GET", helpers.JOB)).status == 410


async def test_no_configuration_yet_is_answered_at_once():
    async with helpers.installation(configured=False) as stand:
        kernel, address = await stand.daemon()
        answer = await stand.call(address, "POST", helpers.JOB, SPEC)
        assert answer.status == 503
        assert not kernel.find("jobgate").is_ready


async def test_newer_configuration_is_in_force_and_older_never_again():
    async with helpers.installation() as stand:
        kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        await stand.platform.put(
            "op/config", helpers.CONFIG | {"version": 9, "routes": []}
        )
        async with asyncio.timeout(2):
            while (await stand.call(address, "GET", helpers.JOB)).status != 404:
                await asyncio.sleep(0.02)
        await stand.platform.put("op/config", helpers.CONFIG)
        await asyncio.sleep(0.3)
        assert (await stand.call(address, "GET", helpers.JOB)).status == 404


async def test_discarded_history_is_read_again():
    async with helpers.installation() as stand:
        _kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        await until_ended(stand, address)
        await stand.platform.write([], [])
        stand.platform.forget_history()
        other = "/q/" + "d" * 16
        await until_accepted(stand, address, other)
        assert await until_ended(stand, address, other) == "completed"


async def test_domain_that_is_out_takes_nothing():
    async with helpers.installation() as stand:
        await stand.platform.put("op/evacuate/a", {})
        _kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        await asyncio.sleep(0.5)
        assert stand.endpoints[0].starts == []
        await stand.platform.write([], ["op/evacuate/a"])
        assert await until_ended(stand, address) == "completed"


async def test_entry_that_is_not_well_formed_names_no_endpoint():
    async with helpers.installation() as stand:
        await stand.platform.put("servers/bad", {"service": 1})
        await stand.platform.put("servers/odd", stand.endpoints[0].entry("asleep"))
        kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        assert await until_ended(stand, address) == "completed"
        assert set(kernel.find("term").scheduler.engine.endpoints) == {"e0"}


async def test_metrics_tell_of_requests_orders_and_calls():
    async with helpers.installation() as stand:
        kernel, address = await stand.daemon()
        await until_accepted(stand, address)
        await until_ended(stand, address)
        host, port = kernel.settings.metrics
        answer = await stand.client.call(f"{host}:{port}", "GET", "/metrics", 2.0)
        text = answer.body.decode()
        for sample in (
            'clementine_job_requests_total{method="POST",status="200"}',
            'clementine_orders_total{kind="start",outcome="started"}',
            'clementine_store_calls_total{kind="kv-txn",result="200"}',
            'clementine_run_ends_total{outcome="done"}',
            "clementine_first_start_seconds_bucket",
        ):
            assert sample in text


def test_waits_fit_the_watch():
    assert schedule.REPORT_WAIT_SECONDS <= 2.0
