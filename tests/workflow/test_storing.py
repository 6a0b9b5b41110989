"""Writes of a term: what counts as stored during and after a failed write."""

import asyncio

import pytest

from clementinebay import errors
from clementinebay.workflow.storing import Storing
from tests.workflow import factory


class HeldWriter:
    """A writer whose writes block until ``go`` is set, then raise ``error`` if set."""

    def __init__(self):
        self.go = asyncio.Event()
        self.saved = []
        self.error = None

    async def save(self, records, endpoints=None):
        """Block until ``go`` is set, then save or raise ``error``."""
        await self.go.wait()
        if self.error is not None:
            raise self.error
        self.saved.append((records, endpoints))


def make_storing():
    """Return a `ChangeWriter` with a blocking writer."""
    engine = factory.make_engine()
    return Storing(engine, HeldWriter(), 120.0, lambda: None, factory.quiet_log())


async def test_endpoint_seen_during_a_write_is_not_taken_for_stored():
    storing = make_storing()
    first = storing.engine.register_endpoint(factory.make_info("e1"), 0.0)
    storing.record_endpoint(first)
    writing = asyncio.create_task(storing.store_changes())
    await asyncio.sleep(0)
    second = storing.engine.register_endpoint(factory.make_info("e2"), 0.0)
    storing.record_endpoint(second)
    storing.writer.go.set()
    await writing
    assert (first.recorded, second.recorded) == (True, False)
    await storing.store_changes()
    assert second.recorded
    assert storing.writer.saved[-1][1] == {"e1": "a", "e2": "a"}


async def test_write_that_failed_is_made_again():
    storing = make_storing()
    storing.writer.go.set()
    storing.writer.error = errors.PlatformUnavailableError("away")
    job = storing.engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    storing.engine.mark_changed(job)
    endpoint = storing.engine.register_endpoint(factory.make_info("e1"), 0.0)
    storing.record_endpoint(endpoint)
    with pytest.raises(errors.PlatformUnavailableError):
        await storing.store_changes()
    assert not endpoint.recorded
    storing.writer.error = None
    await storing.store_changes()
    [(records, endpoints)] = storing.writer.saved
    assert [job_id for job_id, _progress in records] == [job.id]
    assert endpoints == {"e1": "a"}
    assert endpoint.recorded
