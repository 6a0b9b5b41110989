import pytest

from clementinebay.endpoint.base import TaskReport
from clementinebay.policy.reporting import DeliveredReports
from clementinebay.shard.state import State
from tests.shard import factory


@pytest.fixture
def state():
    state = State()
    for record in (
        factory.endpoint("e"),
        factory.submit("job"),
        factory.bind("job", name="e"),
        factory.started("job"),
    ):
        assert state.apply(record) is None
    return state


def report(state, **rest):
    return TaskReport("job", 0, 1, state, **rest)


def test_usage_is_told_once_until_it_changes(state):
    told = DeliveredReports()
    told.start_delivery("d-1", False)
    assert not told.undelivered(state, "e", [report("running")])
    measured = [report("running", processors_milli=700)]
    assert told.undelivered(state, "e", measured) == measured
    told.mark_delivered(measured)
    assert not told.undelivered(state, "e", measured)
    saved = [report("running", processors_milli=700, checkpoint="half")]
    assert told.undelivered(state, "e", saved) == saved
    told.start_delivery("d-2", False)
    assert told.undelivered(state, "e", measured) == measured


def test_full_report_is_told_again(state):
    told = DeliveredReports()
    measured = [report("running", processors_milli=700)]
    told.start_delivery("d-1", False)
    told.mark_delivered(measured)
    told.start_delivery("d-1", True)
    assert told.undelivered(state, "e", measured) == measured


def test_end_is_told_until_the_log_has_it(state):
    told = DeliveredReports()
    done = [report("done")]
    for _time in range(2):
        assert told.undelivered(state, "e", done) == done
        told.mark_delivered(done)
    assert state.apply(factory.finish("job")) is None
    assert not told.undelivered(state, "e", done)


def test_unknown_attempts_are_told(state):
    strays = [report("running"), report("done")]
    for stray in strays:
        stray.attempt = 2
    assert DeliveredReports().undelivered(state, "e", strays) == strays
    strays[0].attempt = 1
    assert DeliveredReports().undelivered(state, "other", strays[:1]) == strays[:1]


def test_only_what_is_used_is_told(state):
    found = DeliveredReports().undelivered(
        state,
        "e",
        [
            report("running", kind="k", processors_milli=700, memory_mb=9),
            report("done", kind="k", checkpoint="half", processors_milli=700),
            report("failed", kind="k", reason="fault"),
            report("stopped", kind="k", checkpoint="half", memory_mb=9),
        ],
    )
    assert found == [
        report("running", processors_milli=700),
        report("done"),
        report("failed", reason="fault"),
        report("stopped", checkpoint="half"),
    ]
