from clementinebay.policy import fitting
from clementinebay.policy.taskhealth import ParkReason
from tests.shard import factory

BIG = (32_000, 64_000, 4)
SMALL = (8_000, 64_000, 0)


def reason(fleet, quotas=None, **fields):
    return fitting.unplaceable_reason(factory.spec(**fields), fleet, quotas or {})


def fleet_of(**domains):
    fleet = fitting.Fleet()
    for domain, size in domains.items():
        fleet.record_endpoint(domain, f"{domain}-0", size, 10.0)
    return fleet


def test_job_is_unplaceable_only_if_it_fits_on_no_endpoint_of_any_domain():
    fleet = fleet_of(a=SMALL, b=BIG)
    assert reason(fleet, processors=32_000) is None
    assert reason(fleet, processors=32_001) == ParkReason.LARGER_THAN_ANY_ENDPOINT
    fleet.record_endpoint("a", "a-1", (40_000, 64_000, 0), 10.0)
    assert reason(fleet, processors=32_001) is None


def test_resources_of_different_endpoints_are_not_combined():
    fleet = fleet_of(a=(32_000, 50, 0), b=(1000, 64_000, 0))
    assert reason(fleet, processors=8000) == ParkReason.LARGER_THAN_ANY_ENDPOINT


def test_endpoint_that_left_counts_until_its_deadline():
    fleet = fleet_of(a=SMALL, b=BIG)
    fleet.record_endpoint("b", "b-1", SMALL, 99.0)
    fleet.forget(9.0)
    assert reason(fleet, processors=20_000) is None
    fleet.forget(10.0)
    # No endpoint of domain "a" is known any more.
    assert reason(fleet, processors=20_000) is None
    fleet.record_endpoint("a", "a-0", SMALL, 99.0)
    assert reason(fleet, processors=20_000) == ParkReason.LARGER_THAN_ANY_ENDPOINT


def test_no_job_is_unplaceable_while_a_domain_has_no_known_endpoint():
    fleet = fleet_of(a=SMALL)
    assert reason(fitting.Fleet(), processors=99_000) is None
    fleet.record_domain("b")
    assert fleet.domains_without_endpoints() == ["b"]
    assert reason(fleet, processors=99_000) is None
    fleet.record_endpoint("b", "b-0", SMALL, 10.0)
    assert reason(fleet, processors=99_000)


def test_task_larger_than_the_quota_of_its_team_is_unplaceable():
    fleet = fleet_of(a=BIG)
    quotas = {"t": (2000, None, None)}
    assert reason(fleet, quotas, processors=2000) is None
    assert reason(fleet, quotas, processors=2001) == ParkReason.LARGER_THAN_QUOTA
