from hypothesis import given
from hypothesis import strategies as st

from clementinebay.policy import lending
from clementinebay.policy.lending import Need

VECTORS = st.tuples(*[st.integers(0, 40)] * 3)
NEEDS = st.dictionaries(
    st.sampled_from("abcde"),
    st.builds(Need, wanted=VECTORS, step=VECTORS, since=st.floats(0, 9)),
    min_size=1,
)


def split(total, **needs):
    return lending.QuotaSplit(total, needs).run()


@given(VECTORS, NEEDS)
def test_split_meets_the_demand_as_far_as_the_quota_allows(total, needs):
    allotted = lending.QuotaSplit(total, needs).run()
    for index in range(3):
        parts = [vector[index] for vector in allotted.values()]
        wanted = sum(need.wanted[index] for need in needs.values())
        assert sum(parts) == min(wanted, total[index])
        for name, need in needs.items():
            assert allotted[name][index] <= need.wanted[index]


def test_split_allots_whole_tasks_to_the_domain_that_waited_longest():
    total = (10, None, None)
    large = [Need(wanted=(8, 0, 0), step=(8, 0, 0), since=at) for at in (3.0, 1.0)]
    found = split(total, a=large[0], b=large[1])
    assert found == {"a": (2, 0, 0), "b": (8, 0, 0)}
    small = Need(wanted=(99, 0, 0), step=(1, 0, 0), since=1.0)
    found = split(total, a=small, b=small)
    assert found == {"a": (5, 0, 0), "b": (5, 0, 0)}
