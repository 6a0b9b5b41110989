"""Drivers of endpoints: requests, task starts and stops, lease renewals, reports."""

import importlib

from clementinebay import errors

#: Driver name -> (module, class) of `EndpointDriver`.
DRIVERS = {
    "aiohttp": ("clementinebay.endpoint.aio", "AiohttpDriver"),
    "httpx": ("clementinebay.endpoint.httpx", "HttpxDriver"),
}


def open_driver(name, clock):
    """Return a new driver of type ``name``; raise `KernelError` if it is unknown."""
    try:
        module, class_name = DRIVERS[name]
    except KeyError:
        raise errors.KernelError(f"unknown endpoint driver {name}") from None
    return getattr(importlib.import_module(module), class_name)(clock)
