"""A server outside the event loop that answers a single call."""

import asyncio
import contextlib
import socket
import threading
import time

#: Time until the answer, in seconds.
ANSWER_SECONDS = 0.1


def answer_call(listener, body):
    """Accept one connection and answer its call with ``body``."""
    connection, _peer = listener.accept()
    with connection:
        connection.recv(4096)
        time.sleep(ANSWER_SECONDS)
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
        connection.sendall(head.encode() + body)
        connection.recv(4096)


@contextlib.asynccontextmanager
async def serve_one_call(client, body):
    """Yield the address of a server that answers one call of ``client``."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
        thread = threading.Thread(
            target=answer_call, args=(listener, body), daemon=True
        )
        thread.start()
        try:
            yield address
        finally:
            client.close_idle(address)
            await asyncio.to_thread(thread.join)


def block_event_loop(seconds):
    """Keep the running loop busy from soon after a call that is sent now."""
    asyncio.get_running_loop().call_later(ANSWER_SECONDS / 5, time.sleep, seconds)
