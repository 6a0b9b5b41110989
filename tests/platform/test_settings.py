"""The platform's settings file, read at startup and reloaded after changes."""

import pytest
import yaml

from clementinebay import errors
from clementinebay.platform import settings
from clementinebay.platform.__main__ import Reloader
from clementinebay.platform.store import PlatformStore
from clementinebay.web.client import Client
from tests.platform import helpers
from tests.workflow.factory import quiet_log


class FakeKernel:
    """A kernel with a deployment and a log only."""

    def __init__(self, deployed):
        self.settings = deployed
        self.log = quiet_log()

    def find(self, _name):
        return self


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "settings.yaml"
    write(path, "127.0.0.1:1")
    return path


def write(path, store, **changes):
    document = helpers.document("d1", "a", store, 1001, 1002) | changes
    path.write_text(yaml.safe_dump(document))


def test_file_is_decoded(path):
    node = settings.read(path)
    deployed = settings.build_deployment(
        node, None, PlatformStore(None, node.store), None, None
    )
    assert deployed.node == "d1"
    assert deployed.domains == ("a", "b")
    assert deployed.front == ("127.0.0.1", 1001)
    assert deployed.max_lease_seconds == 6.0
    assert deployed.status_seconds == 120


def test_unknown_fields_are_ignored_and_missing_bounds_have_defaults(path):
    write(path, "127.0.0.1:1", new_field=[1], bounds=None)
    assert settings.read(path).bounds == settings.DEFAULT_BOUNDS


@pytest.mark.parametrize("text", ["", "[]", "node: x", "{", "listen: 3"])
def test_invalid_file_is_an_error(path, text):
    path.write_text(text)
    with pytest.raises(errors.SettingsError):
        settings.read(path)


def test_unset_path_variable_is_an_error(monkeypatch):
    monkeypatch.delenv(settings.PATH_VARIABLE, raising=False)
    with pytest.raises(errors.SettingsError):
        settings.settings_path()


def test_descriptors_granted_do_not_limit_the_connections(path):
    client = Client()
    write(path, "127.0.0.1:1", limits={"memory_mb": 64, "max_fds": 200})
    node = settings.read(path)
    store = PlatformStore(client, node.store)
    deployed = settings.build_deployment(node, client, store, None, None)
    assert deployed.connection_limits.max_connections == 100
    assert client.max_connections == 50
    write(path, "127.0.0.1:1", limits={"memory_mb": 64, "max_fds": 400})
    Reloader(path, FakeKernel(deployed)).reload()
    assert deployed.connection_limits.max_connections == 200
    assert client.max_connections == 100


def test_changed_file_is_applied_and_an_invalid_one_is_not(path):
    node = settings.read(path)
    store = PlatformStore(None, node.store)
    deployed = settings.build_deployment(node, None, store, None, None)
    reloader = Reloader(path, FakeKernel(deployed))
    write(path, "127.0.0.1:2", bounds={"status_s": 60})
    assert reloader.read_fingerprint() != reloader.fingerprint
    reloader.reload()
    assert store.address == "127.0.0.1:2"
    assert deployed.status_seconds == 60
    path.write_text("{")
    reloader.reload()
    assert store.address == "127.0.0.1:2"
