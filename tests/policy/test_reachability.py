from clementinebay.policy.reachability import Reachability
from clementinebay.shard.state import State
from clementinebay.shard.wire import ttypes as wire
from clementinebay.store.base import Vm
from tests.shard import factory


def known(count=4):
    reachability = Reachability(silence_seconds=5.0)
    for number in range(count):
        reachability.answered(f"e-{number}")
    return reachability


def test_endpoint_is_silent_once_its_calls_have_failed_long_enough():
    reachability = known()
    reachability.failed("e-0", 10.0)
    reachability.failed("e-0", 14.0)
    assert reachability.silent(14.9, 4) == set()
    assert reachability.silent(15.0, 4) == {"e-0"}


def test_one_answer_ends_the_silence():
    reachability = known()
    reachability.failed("e-0", 10.0)
    reachability.answered("e-0")
    reachability.failed("e-0", 16.0)
    assert reachability.silent(17.0, 4) == set()


def test_no_endpoint_is_silent_if_most_do_not_answer():
    reachability = known()
    for number in range(3):
        reachability.failed(f"e-{number}", 10.0)
    assert reachability.silent(15.0, 4) == set()


def test_lost_endpoint_is_trusted_only_after_it_answered():
    state = State()
    state.apply(factory.endpoint("e-0"))
    state.apply(wire.Record(endpoint_lost=wire.EndpointLost("e-0", at=1.0)))
    vms = [Vm(f"e-{n}", "endpoint", "127.0.0.1:1", "a") for n in range(2)]
    reachability = Reachability(silence_seconds=5.0)
    assert [vm.id for vm in reachability.trusted(state, vms, 10.0)] == ["e-1"]
    reachability.answered("e-0")
    assert [vm.id for vm in reachability.trusted(state, vms, 10.0)] == ["e-0", "e-1"]


def test_endpoint_that_left_the_live_list_is_dropped():
    reachability = known()
    reachability.failed("e-0", 10.0)
    reachability.trusted(State(), [], 10.0)
    assert not reachability.failing_since
