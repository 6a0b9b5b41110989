import importlib
import pkgutil

import pytest

import bench

NAMES = sorted(module.name for module in pkgutil.iter_modules(bench.__path__))


@pytest.mark.parametrize("name", NAMES)
def test_every_bench_can_be_imported(name):
    importlib.import_module(f"bench.{name}")
