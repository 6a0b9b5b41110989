"""The scores of endpoints, and their ranking for the tasks of one step."""

from hypothesis import given, settings
from hypothesis import strategies as st

from clementinebay.policy import dispatch, pressure
from clementinebay.workflow import planning
from clementinebay.workflow.job import TaskState
from clementinebay.workflow.model import Step
from tests.workflow import factory

PROCESSORS = 8000

steps = st.builds(
    Step,
    count=st.integers(1, 6),
    processors_milli=st.integers(1, 8).map(lambda n: n * 1000),
    memory_mb=st.integers(0, 8).map(lambda n: n * 1000),
    max_per_endpoint=st.integers(0, 2),
    required_label=st.sampled_from(("", "", "k")),
    data_rack=st.sampled_from(("", "r1")),
    image=st.sampled_from(("i1", "i2")),
    filler=st.booleans(),
    replica=st.booleans(),
)
#: Failure domain, rack, cold milliseconds, tasks there, whether it is on probation.
endpoint_rows = st.tuples(
    st.sampled_from("ab"),
    st.sampled_from(("r1", "r2")),
    st.sampled_from((0, 100)),
    st.lists(steps, max_size=3),
    st.booleans(),
)


def make_engine(rows):
    """Return an engine with an endpoint for each row."""
    engine = factory.make_engine()
    for number, (domain, rack, cold_ms, placed, on_probation) in enumerate(rows):
        info = factory.make_info(
            f"e{number}",
            failure_domain=domain,
            rack=rack,
            cold_ms=cold_ms,
            processors_milli=PROCESSORS,
        )
        endpoint = factory.connect_endpoint(engine, info)
        endpoint.health.probation = on_probation
        for index, step in enumerate(placed):
            spec = factory.make_spec(f"{number:08x}{index:08x}", steps=[step])
            job = engine.add_job(spec, factory.QUEUE, 0.0)
            job.task(0, 0).place(endpoint, 1, TaskState.RUNNING, 0.0)
            job.waiting[0].clear()
        endpoint.spare_headroom = engine.pressure.spare_headroom(endpoint)
    return engine


def add_job(engine, step, domains, restrictions, now):
    """Add a job with ``step``; some of its tasks avoid or are pinned to endpoints."""
    spec = factory.make_spec("f" * 16, steps=[step])
    job = engine.add_job(spec, factory.QUEUE, now)
    job.domains = set(domains)
    job.requested_domains = {"a", "b"} - job.domains
    endpoints = list(engine.endpoints.values())
    for index, (kind, number) in restrictions.items():
        if index < step.count:
            task, endpoint = job.task(0, index), endpoints[number % len(endpoints)]
            if kind == "avoided":
                task.avoided_endpoints = frozenset([endpoint.id])
            else:
                task.pinned_endpoint, task.pinned_until = endpoint, now + 1.0
    return job


def place_one_by_one(engine, job, number, search, now):
    """Yield the start orders of a step's tasks, each with a choice of its own."""
    for task in list(job.waiting[number]):
        arguments = search.arguments(task, engine.pressure, now)
        choice = dispatch.choose(*arguments)
        order = planning.place(engine, task, choice, now)
        if order is not None:
            yield order
        elif task.avoided_endpoints is None and now >= task.pinned_until:
            break


@settings(max_examples=400, deadline=None)
@given(
    st.lists(endpoint_rows, min_size=1, max_size=6),
    steps,
    st.sampled_from(("a", "b", "ab")),
    st.dictionaries(
        st.integers(0, 5),
        st.tuples(st.sampled_from(("avoided", "pinned")), st.integers(0, 5)),
        max_size=3,
    ),
    st.sampled_from((0.0, 1.0, 5.0)),
    st.booleans(),
    st.booleans(),
)
def test_shared_ranking_places_as_separate_choices_do(
    rows, step, domains, restrictions, age, may_wait, probing
):
    placements = []
    for place_step in (planning.place_step, place_one_by_one):
        engine = make_engine(rows)
        job = add_job(engine, step, domains, restrictions, 0.0)
        endpoints = list(engine.endpoints.values())
        search = planning.Search(endpoints, probing)
        search.may_wait = {"s": may_wait}
        orders = place_step(engine, job, 0, search, age)
        placements.append([(order.task.index, order.endpoint.id) for order in orders])
    assert placements[0] == placements[1]


def straightforward_filler_score(endpoint, task, estimates, now, can_wait):
    """Return the score of a filler, with all parts computed before any is judged."""
    step = task.step
    value = dispatch.load_score(endpoint, step)
    if not endpoint.replicas:
        return value
    capacity = endpoint.info.processors_milli
    share = (endpoint.filler_demand + step.processors_milli) / capacity
    taken = step.processors_milli / capacity
    lost = [
        (headroom, estimates.weight(image, step.image) * taken)
        for image, headroom in endpoint.spare_headroom
    ]
    max_speed = max(0.0, min([1.0, *(room / loss for room, loss in lost if loss > 0)]))
    weights = [estimates.weight(image, step.image) for image in endpoint.replica_images]
    headroom_share = max(weights) * taken / (pressure.DEFAULT_LEVEL - 1)
    max_headroom_share = (
        dispatch.MAX_HEADROOM_SHARE
        + dispatch.HEADROOM_SHARE_PER_AGE * task.job.relative_age(now)
    )
    if can_wait and (
        share > dispatch.MAX_FILLER_SHARE
        or max_speed < dispatch.MIN_FILLER_SPEED
        or headroom_share > max_headroom_share
    ):
        return None
    value += dispatch.SLOWDOWN_WEIGHT * (1 - max_speed)
    value += dispatch.HEADROOM_WEIGHT * headroom_share
    crowding = max(0.0, share - dispatch.CROWDING_THRESHOLD)
    return value + dispatch.CROWDING_WEIGHT * crowding


weights = st.dictionaries(
    st.tuples(st.sampled_from(("i1", "i2")), st.sampled_from(("i1", "i2"))),
    st.floats(0.0, 10.0),
)


@settings(max_examples=400, deadline=None)
@given(
    endpoint_rows,
    weights,
    st.lists(st.floats(-1.0, 4.0), max_size=3),
    st.integers(1, 8),
    st.sampled_from((0.0, 1.0, 5.0)),
    st.booleans(),
)
def test_filler_score_equals_the_straightforward_one(
    row, weights, headrooms, processors, age, can_wait
):
    engine = make_engine([row])
    [endpoint] = engine.endpoints.values()
    for pair, value in weights.items():
        engine.pressure.weights[pair] = pressure.Estimate(value, 1.0)
    endpoint.spare_headroom = [("i1", headroom) for headroom in headrooms]
    step = Step(processors_milli=processors * 500, image="i1", filler=True)
    task = add_job(engine, step, "a", {}, 0.0).task(0, 0)
    arguments = (endpoint, task, engine.pressure, age, can_wait)
    expected = straightforward_filler_score(*arguments)
    found = dispatch.filler_score(*arguments)
    assert (found is None) == (expected is None)
    assert found is None or abs(found - expected) < 1e-9
