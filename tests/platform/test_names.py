"""Names from the platform's protocol and settings occur in the adapter only."""

import pathlib
import re

import pytest

import clementinebay

PACKAGE = pathlib.Path(clementinebay.__file__).parent

#: Fields, paths and headers that only the adapter may use.
WIRE_NAMES = (
    "kv-key",
    "kv-range",
    "kv-watch",
    "kv-txn",
    "kv-lease",
    "kv-keep",
    "run-start",
    "run-stop",
    "Target-Instance",
    "Lease-Holder",
    "Fence-Token",
    "Deadline-Ms",
    "seen_upto",
    "max_per_server",
    "long_running",
    "saves_progress",
    "target_ms",
    "may_miss",
    "data_dir",
    "heartbeat_ms",
    "port_range",
    "hold_max_ms",
    "status_s",
    "grace_s",
    "set_keys",
    "has_more",
    "as_of",
    "create_rev",
    "ttl_ms",
    "op/config",
    "op/evacuate",
    "CLEMENTINEBAY_NODE_FILE",
    "enforces_capacity",
    "cold_left_ms",
    "mem_mb",
)

#: Greatest size of the adapter, in lines.
MAX_LINES = 1500


def sources(inside):
    """Return the source files of the adapter, or of the rest of the package."""
    return [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if ("platform" in path.relative_to(PACKAGE).parts[:-1]) == inside
    ]


@pytest.mark.parametrize("name", WIRE_NAMES)
def test_name_occurs_only_in_the_adapter(name):
    pattern = re.compile(rf"(?<![\w-]){re.escape(name)}(?![\w-])")
    found = [
        str(path.relative_to(PACKAGE))
        for path in sources(inside=False)
        if pattern.search(path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_adapter_is_small():
    lines = sum(len(path.read_text().splitlines()) for path in sources(inside=True))
    assert 0 < lines < MAX_LINES


def test_product_does_not_import_the_adapter():
    pattern = re.compile(
        r"clementinebay\.platform\b|from clementinebay import platform"
    )
    found = [
        str(path.relative_to(PACKAGE))
        for path in sources(inside=False)
        if pattern.search(path.read_text(encoding="utf-8"))
    ]
    assert found == []
