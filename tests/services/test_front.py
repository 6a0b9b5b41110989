import asyncio

import pytest

from clementinebay import errors
from clementinebay.services.front import OpenCalls


async def answer(calls, event):
    with calls:
        await event.wait()


async def test_a_stop_with_a_call_in_progress_breaks_the_promise():
    calls, event = OpenCalls(), asyncio.Event()
    task = asyncio.create_task(answer(calls, event))
    await asyncio.sleep(0)
    with pytest.raises(errors.InvariantBrokenError):
        calls.check(0)
    event.set()
    await task
    calls.check(0)


async def test_a_call_that_was_cut_off_breaks_the_promise():
    calls = OpenCalls()
    task = asyncio.create_task(answer(calls, asyncio.Event()))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task])
    with pytest.raises(errors.InvariantBrokenError):
        calls.check(0)


def test_a_forwarded_request_in_progress_breaks_the_promise():
    with pytest.raises(errors.InvariantBrokenError):
        OpenCalls().check(1)
