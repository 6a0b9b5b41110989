from hypothesis import given
from hypothesis import strategies as st

from clementinebay.policy import admission


def fill(queue, *entries):
    return [queue.push(admission.QueuedRequest(client, at)) for client, at in entries]


def test_clients_are_served_in_turn_by_earliest_deadline():
    queue = admission.FairQueue(10)
    fill(queue, ("flood", 5.0), ("flood", 3.0), ("flood", 4.0), ("quiet", 9.0))
    popped = [queue.pop() for _number in range(4)]
    assert [(w.client, w.deadline) for w in popped] == [
        ("flood", 3.0),
        ("quiet", 9.0),
        ("flood", 4.0),
        ("flood", 5.0),
    ]


def test_full_queue_drops_the_last_request_of_the_client_with_the_most():
    queue = admission.FairQueue(3)
    dropped = fill(
        queue, ("flood", 1.0), ("flood", 3.0), ("flood", 2.0), ("quiet", 9.0)
    )
    assert dropped[:3] == [None, None, None]
    assert (dropped[3].client, dropped[3].deadline) == ("flood", 3.0)


def test_requests_ahead_of_a_quiet_client_do_not_grow_with_a_flood():
    queue = admission.FairQueue(1000)
    fill(queue, *[("flood", float(n)) for n in range(500)])
    assert queue.requests_ahead("quiet") == 1
    assert queue.requests_ahead("flood") >= 500


def test_client_that_returns_at_once_does_not_starve_the_others():
    queue = admission.FairQueue(100)
    fill(queue, *[("flood", float(n)) for n in range(20)])
    order = []
    for _turn in range(20):
        fill(queue, ("quick", 50.0))
        order.append(queue.pop().client)
    assert order.count("flood") >= 9


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 10)), max_size=40),
    st.floats(0, 10),
)
def test_each_request_leaves_the_queue_exactly_once(entries, now):
    queue = admission.FairQueue(20)
    left = [w for w in fill(queue, *entries) if w is not None]
    late = queue.expire(now)
    assert all(w.deadline <= now for w in late)
    while (waiting := queue.pop()) is not None:
        assert waiting.deadline > now
        left.append(waiting)
    assert len({id(w) for w in left + late}) == len(entries)
    assert len(queue) == 0
