"""Jobs from submission to their final state, over the platform's protocol."""

import asyncio

import msgspec
import pytest

from clementinebay.policy import polling
from clementinebay.workflow.engine import Engine
from clementinebay.workflow.sending import Sender
from tests.platform import helpers

STEPS = [{"count": 2, "cpu": 500, "mem_mb": 10}, {"count": 1, "cpu": 500, "after": [0]}]
SPEC = {"spec": "text", "steps": STEPS}


async def get_state(installation, address, path=helpers.JOB):
    """Return the state of a job as shown by a daemon."""
    answer = await installation.call(address, "GET", path)
    assert answer.status == 200
    return msgspec.json.decode(answer.body)["state"]


async def wait_until_ended(installation, address, path=helpers.JOB, seconds=10):
    """Wait until a job has ended; return its state."""
    async with asyncio.timeout(seconds):
        while True:
            state = await get_state(installation, address, path)
            if state in ("completed", "failed", "cancelled"):
                return state
            await asyncio.sleep(0.05)


async def submit_until_accepted(
    installation, address, path=helpers.JOB, body=SPEC, seconds=5
):
    """Submit a job repeatedly until the daemon accepts it."""
    async with asyncio.timeout(seconds):
        while True:
            answer = await installation.call(address, "POST", path, body)
            if answer.status == 200:
                return
            assert answer.status == 503
            assert answer.headers["retry-after"]
            await asyncio.sleep(0.05)


async def test_job_runs_step_by_step_and_is_shown_as_completed():
    async with helpers.installation() as installation:
        _kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        assert await wait_until_ended(installation, address) == "completed"
        tasks = [task for task, _run in installation.endpoints[0].starts]
        id = helpers.JOB[3:]
        assert sorted(tasks[:2]) == [f"{id}.0.0.0", f"{id}.0.0.1"]
        assert tasks[2:] == [f"{id}.0.1.0"]


async def test_same_id_at_two_daemons_is_one_job():
    async with helpers.installation() as installation:
        _kernel, first = await installation.start_daemon("d1", "a")
        _kernel, second = await installation.start_daemon("d2", "b")
        await submit_until_accepted(installation, first)
        await submit_until_accepted(installation, second)
        assert await wait_until_ended(installation, second) == "completed"
        await submit_until_accepted(installation, first)
        await asyncio.sleep(0.3)
        assert len(installation.endpoints[0].starts) == 3


async def test_refused_submission_never_runs():
    async with helpers.installation() as installation:
        kernel, address = await installation.start_daemon()
        await kernel.find("queues").mirror.loaded.wait()
        installation.platform.error_status = 503
        answer = await installation.call(address, "POST", helpers.JOB, SPEC)
        assert answer.status == 503
        installation.platform.error_status = 0
        await asyncio.sleep(0.5)
        assert installation.endpoints[0].starts == []


async def test_unavailable_store_is_not_called_for_each_submission():
    async with helpers.installation() as installation:
        kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        installation.platform.error_status = 503
        assert (
            await installation.call(address, "POST", helpers.JOB, SPEC)
        ).status == 503
        before = installation.platform.calls.count(("POST", "/kv-txn"))
        for _again in range(5):
            answer = await installation.call(address, "POST", helpers.JOB, SPEC)
            assert answer.status == 503
        assert installation.platform.calls.count(("POST", "/kv-txn")) == before
        installation.platform.error_status = 0
        await submit_until_accepted(installation, address, "/q/" + "b" * 16)


async def test_client_is_answered_in_time_if_the_store_is_silent(monkeypatch):
    async with helpers.installation() as installation:
        kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        await wait_until_ended(installation, address)
        installation.platform.unanswered_writes = 100
        started_at = asyncio.get_running_loop().time()
        answer = await installation.call(address, "POST", "/q/" + "c" * 16, SPEC)
        elapsed_seconds = asyncio.get_running_loop().time() - started_at
        assert (answer.status, elapsed_seconds < 3.0) in ((200, True), (504, True))


async def test_lost_answer_to_a_submission_is_resolved():
    async with helpers.installation() as installation:
        kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        await wait_until_ended(installation, address)
        installation.platform.unanswered_writes = 1
        other = "/q/" + "f" * 16
        answer = await installation.call(address, "POST", other, SPEC)
        assert answer.status == 200
        assert await wait_until_ended(installation, address, other) == "completed"


async def test_cancelled_job_is_stopped_and_stays_cancelled():
    async with helpers.installation() as installation:
        installation.endpoints[0].seconds = 30
        _kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        async with asyncio.timeout(5):
            while not installation.endpoints[0].starts:
                await asyncio.sleep(0.02)
        for _again in range(2):
            answer = await installation.call(address, "DELETE", helpers.JOB)
            assert answer.status == 200
        assert await wait_until_ended(installation, address) == "cancelled"
        async with asyncio.timeout(3):
            while installation.endpoints[0].running:
                await asyncio.sleep(0.02)


async def test_unanswered_order_runs_its_task_once(monkeypatch):
    monkeypatch.setattr("clementinebay.platform.endpoints.ORDER_TIMEOUT_SECONDS", 0.2)
    async with helpers.installation() as installation:
        installation.endpoints[0].unanswered_starts = 2
        _kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        assert await wait_until_ended(installation, address) == "completed"
        done = [row for row in installation.endpoints[0].starts]
        assert len({task for task, _run in done}) == 3


async def test_restarted_endpoint_gets_a_higher_fence_in_the_same_term():
    async with helpers.installation() as installation:
        endpoint = installation.endpoints[0]
        kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        await wait_until_ended(installation, address)
        before = endpoint.fence
        endpoint.restart()
        await installation.platform.put(f"servers/{endpoint.id}", endpoint.entry())
        other = "/q/" + "d" * 16
        await submit_until_accepted(installation, address, other)
        assert await wait_until_ended(installation, address, other) == "completed"
        assert endpoint.fence > before
        assert kernel.find("term").scheduler.writer.number == 0


async def test_task_that_always_fails_fails_its_job():
    async with helpers.installation() as installation:
        installation.endpoints[0].fail.add(helpers.JOB[3:] + ".0.0.0")
        _kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        assert await wait_until_ended(installation, address) == "failed"
        runs = [
            r for task, r in installation.endpoints[0].starts if task.endswith(".0.0.0")
        ]
        assert len(runs) == helpers.CONFIG["routes"][0]["attempts"]


async def test_successor_continues_after_the_scheduler_has_left():
    async with helpers.installation() as installation:
        installation.endpoints[0].seconds = 1.0
        first, address = await installation.start_daemon("d1", "a")
        await submit_until_accepted(installation, address)
        async with asyncio.timeout(5):
            while len(installation.endpoints[0].starts) < 2:
                await asyncio.sleep(0.02)
        _second, other = await installation.start_daemon("d2", "b")
        term = first.find("term")
        await term.leave()
        assert await wait_until_ended(installation, other) == "completed"
        assert len(installation.endpoints[0].starts) == 3


@pytest.mark.parametrize("owner, name", [(Engine, "plan"), (Sender, "lease_seconds")])
async def test_failure_in_a_term_starts_the_next_term(monkeypatch, owner, name):
    """The next term reloads all state from the store, so no job is lost."""
    original, failures = getattr(owner, name), []

    def broken(self, *args):
        active = getattr(self, "engine", self).active
        if active and not failures:
            failures.append(name)
            raise RuntimeError(name)
        return original(self, *args)

    monkeypatch.setattr(owner, name, broken)
    async with helpers.installation() as installation:
        kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        assert await wait_until_ended(installation, address) == "completed"
        assert failures
        assert kernel.find("term").scheduler.writer.number == 1


async def test_requests_that_cannot_be_served_get_error_responses():
    async with helpers.installation() as installation:
        kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        assert (await installation.call(address, "POST", "/none/x", SPEC)).status == 404
        assert (
            await installation.call(address, "POST", helpers.JOB, SPEC, host="other")
        ).status == 404
        unknown = "/q/" + "e" * 16
        assert (await installation.call(address, "GET", unknown)).status == 410
        assert (await installation.call(address, "DELETE", unknown)).status == 410
        assert (await installation.call(address, "GET", "/q/zz")).status == 400
        counted = await installation.call(address, "GET", "/q/")
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
    async with helpers.installation() as installation:
        kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address, "/q/" + "a" * 16)
        answer = await installation.call(address, "POST", helpers.JOB, body)
        assert answer.status == 400
        assert answer.body
        assert (await installation.call(address, "GET", helpers.JOB)).status == 410


async def test_request_without_configuration_is_refused_at_once():
    async with helpers.installation(configured=False) as installation:
        kernel, address = await installation.start_daemon()
        answer = await installation.call(address, "POST", helpers.JOB, SPEC)
        assert answer.status == 503
        assert not kernel.find("jobgate").is_ready


async def test_older_configuration_does_not_replace_a_newer_one():
    async with helpers.installation() as installation:
        kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        await installation.platform.put(
            "op/config", helpers.CONFIG | {"version": 9, "routes": []}
        )
        async with asyncio.timeout(2):
            while (await installation.call(address, "GET", helpers.JOB)).status != 404:
                await asyncio.sleep(0.02)
        await installation.platform.put("op/config", helpers.CONFIG)
        await asyncio.sleep(0.3)
        assert (await installation.call(address, "GET", helpers.JOB)).status == 404


async def test_store_is_reloaded_after_its_history_is_discarded():
    async with helpers.installation() as installation:
        _kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        await wait_until_ended(installation, address)
        await installation.platform.write([], [])
        installation.platform.forget_history()
        other = "/q/" + "d" * 16
        await submit_until_accepted(installation, address, other)
        assert await wait_until_ended(installation, address, other) == "completed"


async def test_domain_out_of_service_gets_no_tasks():
    async with helpers.installation() as installation:
        await installation.platform.put("op/evacuate/a", {})
        _kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        await asyncio.sleep(0.5)
        assert installation.endpoints[0].starts == []
        await installation.platform.write([], ["op/evacuate/a"])
        assert await wait_until_ended(installation, address) == "completed"


async def test_malformed_registry_entry_is_ignored():
    async with helpers.installation() as installation:
        await installation.platform.put("servers/bad", {"service": 1})
        await installation.platform.put(
            "servers/odd", installation.endpoints[0].entry("asleep")
        )
        kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        assert await wait_until_ended(installation, address) == "completed"
        assert set(kernel.find("term").scheduler.engine.endpoints) == {"e0"}


async def test_metrics_count_requests_orders_and_calls():
    async with helpers.installation() as installation:
        kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        await wait_until_ended(installation, address)
        host, port = kernel.settings.metrics
        answer = await installation.client.call(
            f"{host}:{port}", "GET", "/metrics", 2.0
        )
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
    waits = (polling.USUAL_WAIT_SECONDS, polling.MEASURED_WAIT_SECONDS)
    assert max(waits) <= 2.0
