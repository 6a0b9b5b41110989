import hypothesis
import pytest

from clementinebay.clock import ManualClock
from clementinebay.store.keyspace import KeySpace, MemoryStore

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=100, database=None
)
hypothesis.settings.load_profile("ci")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def space(clock):
    return KeySpace(clock)


@pytest.fixture
def store(space):
    return MemoryStore(space)
