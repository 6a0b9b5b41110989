"""Submissions of jobs to the store."""

from types import SimpleNamespace

from clementinebay.platform.store import PlatformStore
from clementinebay.services.jobgate import STORE_TIMEOUT_SECONDS, JobGate
from clementinebay.web.client import Client
from clementinebay.workflow import jobstore
from tests.web import onecall
from tests.workflow import factory


async def test_answer_to_a_submission_that_arrived_in_time_counts_if_the_loop_is_late():
    """Otherwise the daemon refuses other jobs, as if the store had failed."""
    results = []
    async with (
        Client() as client,
        onecall.serve_one_call(client, b'{"rev":7}') as address,
    ):
        jobs = jobstore.JobStore(PlatformStore(client, address))
        gate = SimpleNamespace(jobs=jobs, record_store_result=results.append)
        onecall.block_event_loop(STORE_TIMEOUT_SECONDS + 0.1)
        await JobGate.attempt(gate, factory.make_spec())
    assert results == [True]
