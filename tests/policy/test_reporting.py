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


def test_usage_is_delivered_once_until_it_changes(state):
    delivered = DeliveredReports()
    delivered.start_delivery("d-1", False)
    assert not delivered.undelivered(state, "e", [report("running")])
    measured = [report("running", processors_milli=700)]
    assert delivered.undelivered(state, "e", measured) == measured
    delivered.mark_delivered(measured)
    assert not delivered.undelivered(state, "e", measured)
    saved = [report("running", processors_milli=700, checkpoint="half")]
    assert delivered.undelivered(state, "e", saved) == saved
    delivered.start_delivery("d-2", False)
    assert delivered.undelivered(state, "e", measured) == measured


def test_full_report_is_delivered_again(state):
    delivered = DeliveredReports()
    measured = [report("running", processors_milli=700)]
    delivered.start_delivery("d-1", False)
    delivered.mark_delivered(measured)
    delivered.start_delivery("d-1", True)
    assert delivered.undelivered(state, "e", measured) == measured


def test_end_is_delivered_until_it_is_in_the_log(state):
    delivered = DeliveredReports()
    done = [report("done")]
    for _time in range(2):
        assert delivered.undelivered(state, "e", done) == done
        delivered.mark_delivered(done)
    assert state.apply(factory.finish("job")) is None
    assert not delivered.undelivered(state, "e", done)


def test_unknown_attempts_are_delivered(state):
    strays = [report("running"), report("done")]
    for stray in strays:
        stray.attempt = 2
    assert DeliveredReports().undelivered(state, "e", strays) == strays
    strays[0].attempt = 1
    assert DeliveredReports().undelivered(state, "other", strays[:1]) == strays[:1]


def test_unused_fields_are_not_delivered(state):
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
