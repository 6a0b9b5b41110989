import asyncio

import pytest

from clementinebay import errors
from clementinebay.services.front import CallCounter


async def answer(calls, event):
    with calls:
        await event.wait()


async def test_stop_with_a_call_in_progress_is_an_invariant_violation():
    calls, event = CallCounter(), asyncio.Event()
    task = asyncio.create_task(answer(calls, event))
    await asyncio.sleep(0)
    with pytest.raises(errors.InvariantBrokenError):
        calls.check(0)
    event.set()
    await task
    calls.check(0)


async def test_cancelled_call_is_an_invariant_violation():
    calls = CallCounter()
    task = asyncio.create_task(answer(calls, asyncio.Event()))
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task])
    with pytest.raises(errors.InvariantBrokenError):
        calls.check(0)


def test_forwarded_request_in_progress_is_an_invariant_violation():
    with pytest.raises(errors.InvariantBrokenError):
        CallCounter().check(1)
