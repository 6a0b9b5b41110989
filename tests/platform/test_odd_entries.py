"""Registry entries of other writers that cannot be read or cannot be true."""

import base64
import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinebay import errors
from clementinebay.platform.endpoints import decode_endpoint
from clementinebay.web.client import encode_call
from clementinebay.workflow.model import Step
from tests.platform import helpers
from tests.platform.entrybed import EntryBed, deep_entry, entry
from tests.platform.test_path import submit_until_accepted, wait_until_ended
from tests.workflow import virtualtime
from tests.workflow.model import ModelEndpoint

JOBS = 3


def test_deeply_nested_entry_is_invalid():
    with pytest.raises(errors.EntryInvalidError):
        decode_endpoint("e1", "servers/e1", deep_entry())


@pytest.mark.parametrize("early", [True, False])
def test_term_goes_on_beside_a_deeply_nested_entry(early):
    """The other endpoints are used, whether the entry is there at the start or not."""

    async def main():
        async with EntryBed(endpoints=3, daemons=2) as bed:
            if early:
                bed.put_entry("odd", deep_entry())
            await bed.run(3.0)
            if not early:
                bed.put_entry("odd", deep_entry())
            tasks = {bed.submit() for _job in range(JOBS)}
            await bed.run(6.0)
            assert tasks <= bed.done
            assert bed.scheduler.writer.number == 0
            assert "odd" not in bed.scheduler.engine.endpoints

    virtualtime.run(main())


def without(name):
    """Return the fields of a registry entry without one of them."""
    fields = entry()
    del fields[name]
    return fields


@pytest.mark.parametrize(
    "fields",
    [entry(slots="x"), entry(seq="x"), entry(version=7), entry(labels="k")]
    + [without(name) for name in ("seq", "version", "slots", "labels", "cold_left_ms")],
    ids=str,
)
def test_entry_that_is_not_an_endpoint_s_own_is_invalid(fields):
    with pytest.raises(errors.EntryInvalidError):
        decode_endpoint("e1", "servers/e1", json.dumps(fields).encode())


def test_endpoint_whose_entry_becomes_unreadable_keeps_its_runs():
    async def main():
        async with EntryBed(endpoints=3) as bed:
            await bed.run(2.0)
            model = bed.endpoints[0]
            bed.put_entry(model.id, deep_entry())
            await bed.run(1.0)
            state = bed.scheduler.engine.endpoints[model.id]
            assert not state.has_valid_entry
            bed.list(model)
            await bed.run(1.0)
            assert state.has_valid_entry
            assert bed.scheduler.writer.number == 0

    virtualtime.run(main())


#: Changes of a valid entry that make it one that no endpoint writes.
IMPOSSIBLE = {
    "too many processors": {"capacity": {"cpu": 1e308}},
    "too many digits of memory": {"capacity": {"mem_mb": 10**300}},
    "too many accelerators": {"capacity": {"gpu": 1e12}},
    "negative processors": {"capacity": {"cpu": -1}},
    "negative memory": {"capacity": {"mem_mb": -0.5}},
    "cold for too long": {"cold_left_ms": 1e308},
    "cold for a negative time": {"cold_left_ms": -1},
    "born with 301 digits": {"born": 10**300},
    "born beyond 53 bits": {"born": 2**53},
    "born in the far future": {"born": 2**53 - 1},
    "born before 1970": {"born": -1},
    "port out of range": {"addr": "127.0.0.1:99999"},
    "port zero": {"addr": "127.0.0.1:0"},
    "port of other digits": {"addr": "127.0.0.1:\u0661"},
    "no port": {"addr": "127.0.0.1:"},
    "port that is no number": {"addr": "127.0.0.1:http"},
    "negative port": {"addr": "127.0.0.1:-1"},
    "no host": {"addr": ":1"},
    "line end in the host": {"addr": "127.0.0.1\r\nx: y:1"},
    "line end after the port": {"addr": "127.0.0.1:1\n"},
    "null in the host": {"addr": "127.0.0.1\0:1"},
    "space in the host": {"addr": "127.0.0.1 :1"},
    "host beyond ASCII": {"addr": "\u20ac:1"},
    "long host": {"addr": "h" * 1000 + ":1"},
    "no zone": {"zone": ""},
    "long zone": {"zone": "z" * 1000},
    "line end in the zone": {"zone": "a\n"},
    "no service": {"service": ""},
    "null in the service": {"service": "s\0"},
    "too many labels": {"labels": ["k"] * 1000},
    "long label": {"labels": ["k" * 1000]},
    "null in a label": {"labels": ["k\0"]},
    "long state": {"state": "s" * 10_000},
    "long entry": {"version": "v" * 1_000_000},
}


def decode(**changes):
    return decode_endpoint("e1", "servers/e1", json.dumps(entry(**changes)).encode())


@pytest.mark.parametrize("changes", IMPOSSIBLE.values(), ids=IMPOSSIBLE.keys())
def test_entry_with_an_impossible_value_is_invalid(changes):
    with pytest.raises(errors.EntryInvalidError) as caught:
        decode(**changes)
    assert len(caught.value.reason) < 1000


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"addr": "[fd00::1]:65535"},
        {"addr": "worker-1.example:1"},
        {"capacity": {}},
        {"capacity": {"cpu": 0, "mem_mb": 0, "gpu": 0}},
        {"capacity": {"cpu": 1e6, "mem_mb": 1e7, "gpu": 1000}},
        {"cold_left_ms": 600_000.5},
        {"born": int(time.time() * 1000)},
        {"born": int(time.time() * 1000) + 600_000},
        {"labels": []},
        {"labels": ["k", ""]},
        {"zone": "Z\u00fcrich 1"},
        {"version": "v" * 1000},
        {"another": {"field": [1, None]}},
    ],
)
def test_entry_with_possible_values_is_valid(changes):
    assert decode(**changes).id == "e1"


def test_odd_entry_at_a_shared_address_ends_no_other_endpoint():
    async def main():
        async with EntryBed(endpoints=3) as bed:
            await bed.run(2.0)
            model = bed.endpoints[0]
            for number, born in enumerate((10**300, 2**63, 2**53 - 1)):
                fields = entry(addr=model.address, born=born)
                bed.put_entry(f"odd{number}", json.dumps(fields).encode())
            await bed.run(2.0)
            engine = bed.scheduler.engine
            assert not engine.endpoints[model.id].has_ended
            assert set(engine.endpoints) == {other.id for other in bed.endpoints}

    virtualtime.run(main())


async def put_foreign_entry(bed, model):
    """Let another writer name the address of ``model`` as that of its own service."""
    # No endpoint answers under the id of the entry.
    bed.by_id["odd"] = ModelEndpoint("odd", "a", bed)
    fields = entry(addr=model.address, zone="a", service="agent", born=2_000)
    bed.put_entry("odd", json.dumps(fields).encode())
    await bed.run(1.0)


@pytest.mark.parametrize("missing", ["foreign", "own", "both", "none"])
def test_foreign_entry_at_a_shared_address_ends_no_endpoint_in_the_next_term(missing):
    """The next scheduler finds the ``missing`` entries in the store's record only."""

    async def main():
        async with EntryBed(endpoints=4, daemons=2) as bed:
            await bed.run(2.0)
            replicas = Step(count=3, processors_milli=3000, replica=True)
            task = bed.submit(steps=[replicas])
            await bed.run(1.0)
            model = bed.running_at(task)
            run = model.runs[task]
            await put_foreign_entry(bed, model)
            if missing in ("foreign", "both"):
                bed.unlist(bed.by_id["odd"])
            if missing in ("own", "both"):
                bed.unlist(model)
            await bed.kill_scheduler()
            await bed.run(4.0)
            assert bed.running_at(task) is model
            assert model.runs[task] == run
            assert not bed.scheduler.engine.endpoints[model.id].has_ended

    virtualtime.run(main())


TEXTS = st.text(st.characters(codec="utf-8"), max_size=12)
NUMBERS = st.integers(-(10**310), 10**310) | st.floats(
    allow_nan=False, allow_infinity=False
)
ODD_FIELDS = {
    "addr": TEXTS | st.from_regex(r"[ -~\s]*:[0-9]+"),
    "born": NUMBERS,
    "capacity": st.dictionaries(st.sampled_from(("cpu", "mem_mb", "gpu")), NUMBERS),
    "cold_left_ms": NUMBERS,
    "labels": st.lists(TEXTS),
    "service": TEXTS,
    "state": TEXTS | st.sampled_from(("ready", "draining")),
    "zone": TEXTS,
}


@given(
    st.sampled_from(sorted(ODD_FIELDS)).flatmap(
        lambda name: st.fixed_dictionaries({name: ODD_FIELDS[name]})
    )
)
def test_any_entry_is_invalid_or_can_be_used(changes):
    try:
        info = decode(**changes)
    except errors.EntryInvalidError:
        return
    assert 0 <= info.born_ms < 2**53
    assert 0 <= info.cold_ms <= 10**9
    for amount in (info.processors_milli, info.memory_mb, info.accelerators):
        assert type(amount) is int
        assert 0 <= amount <= 10**9
    encode_call(info.address, "GET", "/", None, ())


async def put_raw(platform, key, value):
    """Write an item as any writer may."""
    text = base64.b64encode(value).decode()
    await platform.write([{"key": key, "value": text, "lease": 0}], [])


@pytest.mark.parametrize("early", [True, False])
async def test_daemon_runs_jobs_beside_odd_entries(early):
    """The daemon of the platform, with entries before and after it has begun."""
    values = [
        deep_entry(),
        b"\xff",
        b"",
        json.dumps(entry(born=10**300)).encode(),
        json.dumps(entry(capacity={"cpu": 1e308})).encode(),
        json.dumps(entry(addr="127.0.0.1:99999")).encode(),
        # It can be read, and names a service that is not configured.
        json.dumps(entry(addr="127.0.0.1:1", service="another")).encode(),
    ]
    async with helpers.installation() as installation:
        platform = installation.platform
        shared = installation.endpoints[0].entry() | {"service": "another"}

        async def put_all():
            for number, value in enumerate(values):
                await put_raw(platform, f"servers/a{number}", value)
                await put_raw(platform, f"servers/z{number}", value)
            await platform.put("servers/a-shared", shared)
            await put_raw(platform, "op/odd", deep_entry())

        if early:
            await put_all()
        kernel, address = await installation.start_daemon()
        await submit_until_accepted(installation, address)
        if not early:
            await put_all()
        assert await wait_until_ended(installation, address) == "completed"
        other = "/q/" + "b" * 16
        await submit_until_accepted(installation, address, other)
        assert await wait_until_ended(installation, address, other) == "completed"
        scheduler = kernel.find("term").scheduler
        assert scheduler.writer.number == 0
        assert not scheduler.engine.endpoints["e0"].has_ended
        assert len(installation.endpoints[0].starts) == 6
