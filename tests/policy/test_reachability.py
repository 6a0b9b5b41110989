from clementinebay.policy.reachability import Reachability


def known(count=4):
    reachability = Reachability(silence=5.0)
    for number in range(count):
        reachability.answered(f"e-{number}")
    return reachability


def test_endpoint_is_silent_only_after_failing_long_enough():
    reachability = known()
    reachability.failed("e-0", 10.0)
    reachability.failed("e-0", 14.0)
    assert reachability.silent(14.9) == set()
    assert reachability.silent(15.0) == {"e-0"}


def test_one_answer_ends_the_silence():
    reachability = known()
    reachability.failed("e-0", 10.0)
    reachability.answered("e-0")
    reachability.failed("e-0", 16.0)
    assert reachability.silent(17.0) == set()


def test_most_endpoints_silent_is_a_fault_of_this_side():
    reachability = known()
    for number in range(3):
        reachability.failed(f"e-{number}", 10.0)
    assert reachability.isolated(15.0)
    assert reachability.silent(15.0) == set()


def test_endpoint_that_is_gone_is_forgotten():
    reachability = known()
    reachability.failed("e-0", 10.0)
    reachability.keep_only({"e-1", "e-2", "e-3"})
    assert reachability.silent(20.0) == set()
