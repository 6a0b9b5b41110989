"""Runs daemons and stand-ins of the users' platform in one event loop."""

import contextlib

import msgspec

from clementinebay.kernel import Kernel
from clementinebay.platform import settings
from clementinebay.platform.__main__ import PlatformBoundary
from clementinebay.platform.gateway import Gateway
from clementinebay.platform.store import PlatformStore
from clementinebay.services import WORKFLOW_DAEMON_SERVICES
from clementinebay.web.client import Client
from standins.kvendpoint import EndpointStandIn
from standins.kvplatform import PlatformStandIn
from standins.ports import free_range

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "q",
            "host": "h.example",
            "prefix": "/q/",
            "service": "s",
            "slo_ms": 250,
            "priority": 0,
            "attempts": 2,
            "stretch": 1.5,
        }
    ],
    "services": [{"name": "s", "enforces_capacity": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 2000},
}

JOB = "/q/0123456789abcdef"


def document(name, zone, store, front, ready):
    """Return the settings document of one daemon."""
    return {
        "node": name,
        "zone": zone,
        "zones": {"a": "r", "b": "r"},
        "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
        "platform": {"addr": store},
        "bounds": {"hold_max_ms": 6000, "grace_s": 2.2, "status_s": 120},
    }


class Installation:
    """A platform stand-in with endpoints; `start_daemon` starts a daemon on it."""

    def __init__(self, stack, platform, endpoints, client):
        self.stack = stack
        self.platform = platform
        self.endpoints = endpoints
        self.client = client

    async def start_daemon(self, name="d1", zone="a", processors=1.0):
        """Start a daemon; return its kernel and the address that clients use."""
        front, ready = free_range(1), free_range(1)
        node = settings.NodeSettings(
            document(name, zone, self.platform.address, front, ready)
        )
        client = await self.stack.enter_async_context(Client())
        store = PlatformStore(client, node.store)
        boundary = PlatformBoundary(client)
        deployment = settings.build_deployment(node, client, store, boundary, Gateway())
        deployment.processors = processors
        deployment.metrics = ("127.0.0.1", free_range(1))
        kernel = await self.stack.enter_async_context(Kernel(deployment))
        for service in WORKFLOW_DAEMON_SERVICES:
            await kernel.start(service)
        return kernel, f"127.0.0.1:{front}"

    async def call(self, address, method, path, body=None, host="h.example"):
        """Send a client's request; return the `Answer`."""
        data = None if body is None else msgspec.json.encode(body)
        return await self.client.call(
            address, method, path, 5.0, data, (("Host", host),)
        )


@contextlib.asynccontextmanager
async def installation(endpoints=1, configured=True):
    """Yield an `Installation` with the given number of endpoints."""
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(Client())
        platform = await stack.enter_async_context(PlatformStandIn(free_range(1)))
        started_endpoints = []
        for number in range(endpoints):
            endpoint = EndpointStandIn(f"e{number}", free_range(1))
            started_endpoints.append(await stack.enter_async_context(endpoint))
            await platform.put(f"servers/{endpoint.id}", endpoint.entry())
        if configured:
            await platform.put("op/config", CONFIG)
        async with contextlib.AsyncExitStack() as daemons:
            yield Installation(daemons, platform, started_endpoints, client)
