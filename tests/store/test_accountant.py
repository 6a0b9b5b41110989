import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinebay import errors
from clementinebay.clock import ManualClock
from clementinebay.store import accountant

READS, WRITES = 2000, 300


def spend(budget, kind, count, control):
    """Return the times at which the calls of a burst may be made."""
    times = []
    for _call in range(count):
        try:
            times.append(budget.clock.now() + budget.acquire(kind, control))
        except errors.CallBudgetSpentError:
            break
    return times


def test_simultaneous_bursts_of_all_daemons_stay_within_the_rates():
    for daemons in (1, 8, 40):
        for kind, limit in (("read", READS), ("write", WRITES)):
            times = []
            for number in range(daemons):
                rates = accountant.rate_shares(READS, WRITES, daemons, 5, number < 5)
                budget = accountant.CallBudget(ManualClock(), *rates)
                times += spend(budget, kind, 3000, control=True)
            first = min(times)
            for second in range(2):
                start = first + second * 0.5
                assert sum(start <= t < start + 1.0 for t in times) <= limit


@given(st.integers(1, 80), st.integers(1, 10))
def test_rates_of_all_daemons_stay_within_the_usable_fraction(daemons, domains):
    domains = min(daemons, domains)
    rates = [
        accountant.rate_shares(READS, WRITES, daemons, domains, number < domains)
        for number in range(daemons)
    ]
    assert (
        sum(reads for reads, _writes in rates)
        <= READS * accountant.USABLE_FRACTION + 1e-6
    )
    assert (
        sum(writes for _reads, writes in rates)
        <= WRITES * accountant.USABLE_FRACTION + 1e-6
    )


def test_control_calls_are_allowed_when_the_general_rate_is_spent():
    budget = accountant.CallBudget(ManualClock(), 50, 10)
    spend(budget, "write", 1000, control=False)
    with pytest.raises(errors.CallBudgetSpentError):
        budget.acquire("write", False)
    assert budget.acquire("write", True) < accountant.MAX_WAIT_SECONDS / 2


def test_rate_recovers_over_time():
    clock = ManualClock()
    budget = accountant.CallBudget(clock, 50, 10)
    assert len(spend(budget, "write", 1000, control=True)) <= 13
    with pytest.raises(errors.CallBudgetSpentError):
        budget.acquire("write", True)
    clock.advance(10.0)
    assert budget.acquire("write", True) == 0.0


async def test_reserved_writes_are_counted_once_and_limited(store, clock):
    budget = accountant.CallBudget(clock, 1000, 1000)
    accounted = accountant.RateLimitedStore(store, budget, control=True)
    calls = []
    budget.acquire = lambda kind, _control: calls.append(kind) or 0.0
    for _call in range(10):
        await accounted.reserve()
    assert len(calls) == accounted.reserved_writes == accountant.MAX_RESERVED_WRITES
    for number in range(accountant.MAX_RESERVED_WRITES + 1):
        await accounted.create(f"key-{number}", b"")
    assert (len(calls), accounted.reserved_writes) == (
        accountant.MAX_RESERVED_WRITES + 1,
        0,
    )
