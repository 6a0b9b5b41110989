"""A small HTTP/1.1 server and client for the stand-ins of the cases."""

import asyncio
import contextlib
import json

REASONS = {200: "OK"}


class ConnectionResetByServerError(Exception):
    """Tells the server to reset the connection without a response."""


class Call:
    """A received request."""

    __slots__ = ("method", "path", "query", "headers", "body")

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _mark, self.query = target.partition("?")
        self.headers = headers
        self.body = body

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Return (first line, headers, body) of one message, ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _colon, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def encode_response(status, document):
    """Return the bytes of a response."""
    body = b"" if document is None else json.dumps(document).encode()
    head = (
        f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class HttpServer:
    """Serves one port; ``handler(call)`` returns (status, document)."""

    def __init__(self, handler, host, port):
        self.handler = handler
        self.host = host
        self.port = port
        self.server = None
        self.tasks = set()

    async def start(self):
        """Open the port."""
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=2**22, backlog=1024
        )

    async def stop(self):
        """Close the port and all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _version = first.split(" ", 2)
                status, document = await self.handler(
                    Call(method, target, headers, body)
                )
                if writer.is_closing():
                    break
                writer.write(encode_response(status, document))
                await writer.drain()
        except ConnectionResetByServerError:
            writer.transport.abort()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.transport.abort()


async def request(address, method, path, document=None, headers=(), seconds=3.0):
    """Send one request on a new connection; return (status, document).

    The status is 0 if there was no complete answer in time.
    """
    host, _colon, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            body = b"" if document is None else json.dumps(document).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if not any(name.lower() == "host" for name, _value in headers):
                lines.append(f"host: {address}")
            lines.append("content-type: application/json")
            lines.append(f"content-length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.transport.abort()
    if message is None:
        return 0, None
    first, _headers, body = message
    try:
        return int(first.split(" ", 2)[1]), json.loads(body) if body else None
    except ValueError:
        return int(first.split(" ", 2)[1]), None
