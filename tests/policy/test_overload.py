from clementinebay.policy import overload


def send(limit, client, count, now=0.0):
    """Start ``count`` requests of ``client``; return how many were accepted."""
    accepted = 0
    for _number in range(count):
        if not limit.refuses(client):
            limit.hold(client, now)
            accepted += 1
    return accepted


def observe_lag(limit, times, now=0.0):
    """Report a large event loop lag to ``limit``, ``times`` times."""
    for _time in range(times):
        limit.adapt(10 * overload.TARGET_SECONDS, now)


def test_no_client_is_refused_while_the_loop_keeps_up():
    limit = overload.ClientLimit()
    limit.adapt(overload.TARGET_SECONDS / 2, 0.0)
    assert send(limit, "quiet", 1) == 1
    assert send(limit, "flood", 1000) == 1000


def test_lag_limits_only_the_client_with_the_most_requests():
    limit = overload.ClientLimit()
    send(limit, "flood", 500)
    send(limit, "quiet", 2)
    observe_lag(limit, 3)
    assert limit.refuses("flood")
    assert not limit.refuses("quiet")
    assert not limit.refuses("new")


def test_limit_does_not_fall_below_the_minimum():
    limit = overload.ClientLimit()
    send(limit, "quiet", 1)
    observe_lag(limit, 100)
    assert send(limit, "flood", 1000) == overload.MIN_LIMIT


def test_single_client_is_not_limited():
    limit = overload.ClientLimit()
    send(limit, "only", 500)
    observe_lag(limit, 100)
    assert not limit.refuses("only")
    send(limit, "second", 1)
    assert limit.refuses("only")


def test_limit_is_lifted_once_the_loop_keeps_up():
    limit = overload.ClientLimit()
    send(limit, "flood", 100)
    send(limit, "quiet", 1)
    observe_lag(limit, 20)
    observations = 0
    while limit.refuses("flood"):
        limit.adapt(0.0, 0.0)
        observations += 1
        assert observations < 200


def test_idle_clients_are_removed():
    limit = overload.ClientLimit()
    send(limit, "gone", 1)
    limit.release("gone")
    send(limit, "busy", 1)
    limit.adapt(0.0, 1.0 + overload.ACTIVE_SECONDS)
    assert set(limit.clients) == {"busy"}
