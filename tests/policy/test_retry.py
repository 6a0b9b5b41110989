from clementinebay.policy import retry


def test_retries_during_an_outage_stay_within_the_share():
    budget = retry.RetryBudget(10)
    offered = 0
    for _request in range(2000):
        budget.earn()
        offered += 1
        while budget.spend():
            offered += 1
    assert offered < 1.2 * 2000
