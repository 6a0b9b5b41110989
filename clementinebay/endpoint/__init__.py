"""How endpoints are driven: requests, task starts, stops, renewals and reports."""

import importlib

from clementinebay import errors

#: Driver name -> (module, class) of `EndpointDriver`.
DRIVERS = {
    "aiohttp": ("clementinebay.endpoint.aio", "AiohttpDriver"),
    "httpx": ("clementinebay.endpoint.httpx", "HttpxDriver"),
}


def open_driver(name, clock):
    """Return the driver called ``name``; raise `KernelError` if there is none."""
    try:
        module, class_name = DRIVERS[name]
    except KeyError:
        raise errors.KernelError(f"no endpoint driver is named {name}") from None
    return getattr(importlib.import_module(module), class_name)(clock)
