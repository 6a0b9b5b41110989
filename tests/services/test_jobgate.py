"""Submissions of jobs to the store."""

import asyncio
import socket
import threading
import time
from types import SimpleNamespace

from clementinebay.platform.store import PlatformStore
from clementinebay.services.jobgate import STORE_TIMEOUT_SECONDS, JobGate
from clementinebay.web.client import Client
from clementinebay.workflow import jobstore
from tests.workflow import factory


def serve_one_write(listener):
    """Acknowledge one write to a store at ``listener``."""
    connection, _peer = listener.accept()
    with connection:
        connection.recv(4096)
        time.sleep(0.1)
        connection.sendall(b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{"rev":7}')
        connection.recv(4096)


async def test_answer_to_a_submission_that_arrived_in_time_counts_if_the_loop_is_late():
    """Otherwise the daemon refuses other jobs, as if the store had failed."""
    results = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        target = serve_one_write
        thread = threading.Thread(target=target, args=(listener,), daemon=True)
        thread.start()
        address = "{}:{}".format(*listener.getsockname())
        async with Client() as client:
            jobs = jobstore.JobStore(PlatformStore(client, address))
            gate = SimpleNamespace(jobs=jobs, record_store_result=results.append)
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, time.sleep, STORE_TIMEOUT_SECONDS + 0.1)
            try:
                await JobGate.attempt(gate, factory.make_spec())
            finally:
                client.close_idle(address)
                await asyncio.to_thread(thread.join)
    assert results == [True]
