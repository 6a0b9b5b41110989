"""Reads the platform's settings file, a YAML document, into the daemon's settings."""

import os

import yaml

from clementinebay import errors
from clementinebay.web.limits import ConnectionLimits
from clementinebay.workflow.boundary import Deployment

#: Environment variable that holds the path of the settings file.
PATH_VARIABLE = "CLEMENTINEBAY_NODE_FILE"
#: Length of endpoints' leases, in seconds.  It covers the loss of a scheduler, the
#: election of its successor and the successor's first reports, and is short enough for
#: the tasks of a lost endpoint to be restarted soon.
LEASE_SECONDS = 5.0
#: Time between the end of the drain and the end of the grace period, in seconds.
GRACE_MARGIN_SECONDS = 2.0

#: TCP port of the metrics, the same as in `deploy/system.toml`.
METRICS_PORT = 9464

#: Part of the platform's rules under which clients need API keys.
KEYS_CONTRACT = "tenants"
#: Defaults of bounds that the settings file leaves out, in the platform's units.
DEFAULT_BOUNDS = {
    "hold_max_ms": 6000,
    "grace_s": 6,
    "status_s": 120,
}


class NodeSettings:
    """The contents of the settings file.

    Addresses are (host, port); ``store`` is "host:port".  ``processors`` is the
    processor time that the machine grants the daemon per second, ``needs_keys`` whether
    clients need API keys.  ``memory_mb`` and ``descriptors`` are those granted, 0 if
    unknown.
    """

    __slots__ = (
        "node",
        "failure_domain",
        "domains",
        "front",
        "ready",
        "store",
        "processors",
        "bounds",
        "needs_keys",
        "memory_mb",
        "descriptors",
    )

    def __init__(self, document):
        try:
            self.node = document["node"]
            self.failure_domain = document["zone"]
            self.domains = tuple(document["zones"])
            self.front = parse_address(document["listen"]["front"])
            self.ready = parse_address(document["listen"]["ready"])
            self.store = document["platform"]["addr"]
            limits = document.get("limits") or {}
            self.processors = limits.get("cpu_share", 1.0) * limits.get("cores", 1)
            self.memory_mb = limits.get("memory_mb", 0)
            self.descriptors = limits.get("max_fds", 0)
            self.needs_keys = KEYS_CONTRACT in (document.get("contracts") or ())
            self.bounds = DEFAULT_BOUNDS | (document.get("bounds") or {})
        except (KeyError, TypeError, ValueError) as error:
            raise errors.SettingsError([f"settings file: {error!r}"]) from error


def parse_address(text):
    """Return (host, port) of ``host:port``."""
    host, _colon, port = text.rpartition(":")
    return host, int(port)


def settings_path():
    """Return the path of the settings file; raise `SettingsError` if it is not set."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise errors.SettingsError([f"{PATH_VARIABLE} is not set"])
    return path


def read(path):
    """Return the `NodeSettings` of the file; raise `SettingsError` if it is invalid."""
    try:
        with open(path, "rb") as file:
            document = yaml.load(file, Loader=yaml.CSafeLoader)
    except (OSError, yaml.YAMLError) as error:
        raise errors.SettingsError([f"{path}: {error}"]) from error
    return NodeSettings(document)


def build_deployment(node, client, store, boundary, gateway):
    """Return the `Deployment` for the settings."""
    deployment = Deployment(
        node=node.node,
        failure_domain=node.failure_domain,
        front=node.front,
        ready=node.ready,
        metrics=(node.front[0], METRICS_PORT),
        client=client,
        store=store,
        boundary=boundary,
        gateway=gateway,
        lease_seconds=LEASE_SECONDS,
        connection_limits=ConnectionLimits(),
        **reloadable_fields(node),
    )
    grant(deployment, node)
    return deployment


def grant(deployed, node):
    """Limit connections to what the settings grant the process."""
    deployed.connection_limits.grant(node.memory_mb, node.descriptors)
    if node.descriptors:
        deployed.client.grant(node.descriptors)


def reloadable_fields(node):
    """Return the fields of a `Deployment` that may change at run time."""
    bounds = node.bounds
    return {
        "domains": node.domains,
        "processors": node.processors,
        "max_lease_seconds": bounds["hold_max_ms"] / 1000,
        "drain_seconds": max(0.0, bounds["grace_s"] - GRACE_MARGIN_SECONDS),
        "status_seconds": bounds["status_s"],
    }


def update(deployed, node):
    """Apply changed settings to a `Deployment`."""
    deployed.store.address = node.store
    grant(deployed, node)
    for name, value in reloadable_fields(node).items():
        setattr(deployed, name, value)
