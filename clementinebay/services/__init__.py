"""Registry of the services that the kernel starts by name."""

import importlib

from clementinebay import errors

#: Service name -> (module, class).
SERVICES = {
    "adopter": ("clementinebay.services.adopter", "Adopter"),
    "bootstrap": ("clementinebay.services.bootstrap", "Bootstrap"),
    "colocation": ("clementinebay.services.colocation", "Colocation"),
    "config": ("clementinebay.services.configwatcher", "ConfigWatcher"),
    "dispatcher": ("clementinebay.services.dispatcher", "Dispatcher"),
    "driver": ("clementinebay.services.driver", "DriverService"),
    "eventlog": ("clementinebay.services.eventlog", "EventLogService"),
    "exporter": ("clementinebay.services.exporter", "Exporter"),
    "fleet": ("clementinebay.services.fleet", "FleetWatcher"),
    "front": ("clementinebay.services.front", "Front"),
    "jobgate": ("clementinebay.services.jobgate", "JobGate"),
    "jobs": ("clementinebay.services.jobs", "Jobs"),
    "livelist": ("clementinebay.services.livelist", "LiveListWatcher"),
    "mover": ("clementinebay.services.mover", "Mover"),
    "organisations": ("clementinebay.services.organisations", "OrganisationView"),
    "peers": ("clementinebay.services.peers", "Peers"),
    "platform": ("clementinebay.services.platform", "Platform"),
    "queues": ("clementinebay.services.queues", "Queues"),
    "reachability": ("clementinebay.services.reachability", "EndpointReachability"),
    "renewals": ("clementinebay.services.renewals", "Renewals"),
    "retention": ("clementinebay.services.retention", "Retention"),
    "router": ("clementinebay.services.router", "Router"),
    "scheduler": ("clementinebay.services.scheduler", "Scheduler"),
    "shard": ("clementinebay.services.shard", "ShardFollower"),
    "term": ("clementinebay.services.term", "Term"),
    "tracing": ("clementinebay.services.tracing", "Tracing"),
}

#: Services of a daemon; the kernel starts the services they require first.
DAEMON_SERVICES = ("scheduler", "mover", "retention", "adopter", "bootstrap", "front")

#: Services of a daemon that schedules jobs of several steps on the platform.
WORKFLOW_DAEMON_SERVICES = ("exporter", "jobgate", "organisations")


def find_service_class(name):
    """Return the class of service ``name``; raise `KernelError` if there is none."""
    try:
        module, class_name = SERVICES[name]
    except KeyError:
        raise errors.KernelError(f"no service is named {name}") from None
    return getattr(importlib.import_module(module), class_name)
