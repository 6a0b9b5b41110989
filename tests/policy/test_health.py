import random

from clementinebay.policy import health

NAMES = [f"e{number}" for number in range(24)]


def run(ejector, broken, seconds, rate=200, start=0.0, seed=1):
    """Send ``rate`` requests a second; return the time and endpoint of each."""
    rng = random.Random(seed)
    sent = []
    for number in range(int(seconds * rate)):
        now = start + number / rate
        allowed = [name for name in NAMES if ejector.limit(name, now, 4)]
        name = rng.choice(allowed)
        sent.append((now, name))
        ejector.observe(name, name not in broken, now)
    return sent


def test_one_failing_endpoint_gets_few_requests():
    sent = run(health.Ejector(), {"e3"}, 20)
    late = [name for at, name in sent if at >= 5.0]
    assert late.count("e3") < 0.02 * len(late)


def test_fault_of_all_endpoints_ejects_none():
    ejector = health.Ejector()
    run(ejector, set(NAMES), 10)
    assert not ejector.ejected_or_probing


def test_share_of_ejected_endpoints_is_bounded():
    ejector = health.Ejector(max_percent=25)
    run(ejector, set(NAMES[:11]), 10)
    assert len(ejector.ejected_or_probing) <= 6


def test_endpoint_that_recovers_is_readmitted():
    ejector = health.Ejector()
    run(ejector, {"e3"}, 5)
    assert "e3" in ejector.ejected_or_probing
    run(ejector, set(), 30, start=5.0)
    assert not ejector.ejected_or_probing


def test_fault_of_all_endpoints_does_not_prolong_an_ejection():
    ejector = health.Ejector()
    run(ejector, {"e3"}, 4)
    run(ejector, set(NAMES), 30, start=4.0)
    assert ejector.known["e3"].ejected_until < 34.0 + 2 * health.EJECTION_SECONDS


def test_hang_of_all_endpoints_ejects_none_when_the_first_requests_time_out():
    ejector = health.Ejector()
    for number in range(1200):
        ejector.observe(NAMES[number % 24], True, number / 1200)
    timeouts = [(name, number) for name in NAMES for number in range(12)]
    ejected = [ejector.observe(name, False, 8.0 + n / 1000) for name, n in timeouts]
    assert ejector.known["e0"].failure_rate >= health.OUTLIER_FAILURE_RATE
    assert not any(ejected)


def test_hang_of_one_endpoint_ejects_it():
    ejector = health.Ejector()
    ejected = []
    for number in range(3000):
        now = number / 300
        name = NAMES[number % 24]
        ejected.append(ejector.observe(name, name != "e3" or now < 4.0, now))
    assert ejected.count(True) >= 1
    assert ejector.ejected_or_probing == {"e3"}
