"""Fake kernel and services for tests of a single service."""

from clementinebay import settings


class Fake:
    def __init__(self, **attributes):
        self.__dict__.update(attributes)


class FakeKernel:
    def __init__(self, clock, **options):
        given = {
            "daemon_name": "d-0",
            "daemon_failure_domain": "d",
            "front_port": 1,
            "peer_port": 1,
            "platform_url": "http://127.0.0.1:1",
            "platform_live_list_url": "http://127.0.0.1:1/vms",
        }
        self.settings = settings.Settings(**{**given, **options})
        self.clock = clock
        self.services = {}

    def find(self, name):
        return self.services[name]
