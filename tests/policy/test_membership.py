from clementinebay import config
from clementinebay.policy import membership
from clementinebay.shard.state import State
from clementinebay.shard.wire import ttypes as wire
from clementinebay.store.base import Vm
from tests.shard import factory


def vm(address="127.0.0.1:1", processors=2000):
    return Vm(
        "e-0",
        "endpoint",
        address,
        "a",
        rack="r",
        processors_milli=processors,
        memory_mb=1000,
    )


def state_with(*records):
    state = State()
    state.index = 1
    for record in records:
        state.apply(record)
    return state


def document(revision, out, section_revision):
    ref = config.SectionRef("d", section_revision)
    head = config.Head(revision, {"domain:a": ref})
    return config.Document(head, {"domain:a": f"state = {'out' if out else 'in'}\n"})


def step(state, vms, now):
    records = membership.endpoint_records(state, vms, now, now + 30.0)
    for record in records:
        state.apply(record)
    return len(records)


def test_time_of_expiry_is_recorded_once_the_bar_is_in_the_state():
    state = state_with(factory.endpoint(), factory.submit(), factory.bind())
    assert step(state, [], 100.0) == 1
    assert not state.endpoints["e-0"].free_at
    assert step(state, [], 160.0) == 1
    assert state.endpoints["e-0"].free_at == 190.0
    assert not membership.expired_records(state, 190.0, 0.5)
    assert membership.expired_records(state, 190.1, 0.5)


def test_second_record_of_a_loss_is_not_written_if_the_endpoint_is_back():
    state = state_with(factory.endpoint())
    step(state, [], 100.0)
    assert step(state, [vm()], 101.0) == 1
    assert state.endpoints["e-0"].usable


def test_id_with_another_address_is_unusable_while_tasks_hold_the_old_vm():
    state = state_with(factory.endpoint(), factory.submit(), factory.bind())
    other = vm("127.0.0.1:2")
    step(state, [other], 100.0)
    step(state, [other], 101.0)
    assert state.endpoints["e-0"].lost
    assert step(state, [other], 102.0) == 0
    state.apply(membership.expired_records(state, 132.0, 0.5)[0])
    step(state, [other], 132.0)
    assert state.endpoints["e-0"].usable
    assert not state.endpoints["e-0"].unconfirmed


def test_older_document_does_not_revert_a_newer_change_of_the_domain():
    state = State()
    # In at 8, out at 10, in at 12: each change is recorded, even one without effect.
    for revision, out in ((8, False), (12, False)):
        newest = document(revision, out, revision)
        for record in membership.domain_records(state, newest, "a"):
            state.apply(record)
    assert not membership.domain_records(state, document(10, True, 10), "a")
    assert not membership.domain_records(state, document(40, False, 12), "a")


def test_newest_task_is_released_from_an_endpoint_whose_capacity_shrank():
    state = state_with(factory.endpoint(), factory.submit())
    for index in range(2):
        bind = wire.Bind("minutes", index, 1, "e-0", 10.0, float(index))
        state.apply(wire.Record(bind=bind))
    state.apply(factory.endpoint(processors=1500))
    found = [record.release.index for record in membership.release_records(state)]
    assert found == [1]
    for record in membership.release_records(state):
        state.apply(record)
    assert not membership.release_records(state)


def test_comparison_key_changes_whenever_endpoint_records_could_change():
    state = state_with(factory.endpoint("e-0"), factory.submit())
    keys = [membership.comparison_key(state)]

    def check_new_key():
        keys.append(membership.comparison_key(state))
        assert keys[-1] not in keys[:-1]

    assert not step(state, [vm()], 1.0)
    state.apply(factory.bind(deadline=50.0))
    assert membership.comparison_key(state) == keys[0]
    assert step(state, [vm(processors=1500)], 1.0)
    check_new_key()
    for now in (2.0, 3.0):
        assert step(state, [vm("127.0.0.1:2", 1500)], now)
        check_new_key()
    assert not step(state, [vm("127.0.0.1:2", 1500)], 4.0)
    released = factory.released(evidence=wire.Evidence.EXPIRED, at=60.0)
    assert state.apply(released) is None
    check_new_key()
    assert step(state, [vm("127.0.0.1:2", 1500)], 61.0)
    check_new_key()
