import asyncio
import contextlib

import httpx
import pytest

from clementinebay import errors
from clementinebay.store.base import Put
from clementinebay.store.etcd import EtcdStore
from clementinebay.store.livelist import HttpLiveList
from standins.ports import free_ports
from standins.process import Process, wait_for

NO_FAULTS = {
    "down": False,
    "delay": 0.0,
    "lose": 0.0,
    "time_out": 0.0,
    "watch_lag": 0.0,
}


@pytest.fixture(scope="module")
def url(tmp_path_factory):
    port = free_ports(1)[0]
    folder = str(tmp_path_factory.mktemp("platform"))
    process = Process("platform", ["standins.platform", "--port", str(port)], folder)
    url = f"http://127.0.0.1:{port}"
    wait_for("the platform", lambda: httpx.get(f"{url}/vms"))
    yield url
    process.stop()


@pytest.fixture
def faults(url):
    def change(**faults):
        httpx.post(f"{url}/control/faults", json=faults)

    yield change
    change(**NO_FAULTS)


@pytest.fixture
async def store(url):
    async with contextlib.aclosing(ClosableStore(EtcdStore(url, 0.5))) as closing:
        await closing.store.commit([], [], [("a", "z")])
        yield closing.store


class ClosableStore:
    """Adapts a store to `contextlib.aclosing`."""

    def __init__(self, store):
        self.store = store

    async def aclose(self):
        await self.store.close()


async def test_create_swap_scan_and_delete(store):
    version = await store.create("a/1", b"one")
    with pytest.raises(errors.CompareFailedError) as failure:
        await store.create("a/1", b"two")
    assert failure.value.entry.value == b"one"
    assert await store.swap("a/1", b"", version) > version
    assert (await store.get("a/1")).value == b""
    await store.commit([], [Put("a/2", b"two"), Put("b/1", b"x")], [("a/1", "a/2")])
    entries, _revision = await store.scan("a/", "b/", 1)
    assert [(entry.key, entry.value) for entry in entries] == [("a/2", b"two")]


async def test_write_with_a_revoked_lease_has_no_effect(store):
    lease = await store.grant(5)
    await store.create("k", b"v", lease)
    await store.revoke(lease)
    await store.revoke(lease)
    assert await store.get("k") is None and await store.keep_alive(lease) == 0
    with pytest.raises(errors.LeaseGoneError):
        await store.create("k", b"v", lease)


async def test_call_to_an_unavailable_platform_has_no_effect(store, faults):
    faults(down=True)
    with pytest.raises(errors.PlatformUnavailableError):
        await store.create("k", b"v")
    with pytest.raises(errors.PlatformUnavailableError):
        async for _change in store.watch("a", "z", 1):
            pass


@pytest.mark.parametrize("fault", [{"lose": 1.0}, {"time_out": 1.0}, {"delay": 0.7}])
async def test_lost_or_late_response_leaves_the_outcome_unknown(store, faults, fault):
    faults(**fault)
    with pytest.raises(errors.PlatformOutcomeUnknownError):
        await store.create("k", b"v")
    faults(**NO_FAULTS)
    async with asyncio.timeout(5.0):
        while await store.get("k") is None:
            await asyncio.sleep(0.02)


async def test_address_without_listener_is_unavailable():
    store = EtcdStore(f"http://127.0.0.1:{free_ports(1)[0]}", 0.5)
    with pytest.raises(errors.PlatformUnavailableError):
        await store.create("k", b"v")
    await store.close()


async def next_entry(watch):
    async with asyncio.timeout(5.0):
        async for entries, _revision in watch:
            if entries:
                return entries[0]
    raise AssertionError("the watch ended")


async def test_watch_delivers_delayed_changes_and_fails_with_the_platform(
    store, faults
):
    revision = await store.create("w/1", b"1")
    large = bytes(300_000)
    watch = store.watch("w/", "w0", revision)
    faults(watch_lag=0.2)
    await store.create("w/2", large)
    assert (await next_entry(watch)).value == large
    await store.commit([], [], [("w/1", "w/2")])
    deleted = await next_entry(watch)
    assert (deleted.key, deleted.value) == ("w/1", None)
    faults(down=True)
    with pytest.raises(errors.PlatformUnavailableError):
        await next_entry(watch)


async def test_live_list_is_returned_only_when_it_has_changed(url, faults):
    def put(**vm):
        httpx.post(f"{url}/control/vms", json={"put": [vm]})

    put(id="e-1", role="endpoint", address="10.0.0.1:7", failure_domain="a")
    live_list = HttpLiveList(f"{url}/vms", 0.5)
    assert [vm.id for vm in await live_list.read()] == ["e-1"]
    assert await live_list.read() is None
    put(id="e-1", leaving=True)
    assert [vm.leaving for vm in await live_list.read()] == [True]
    put(id="e-1", made_up=1)
    assert [vm.leaving for vm in await live_list.read()] == [True]
    faults(down=True)
    with pytest.raises(errors.PlatformUnavailableError):
        await live_list.read()
    await live_list.close()
