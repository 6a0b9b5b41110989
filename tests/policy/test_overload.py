from clementinebay.policy import overload


def held(limit, client, count, now=0.0):
    """Have ``client`` send ``count`` requests; return how many were taken."""
    taken = 0
    for _number in range(count):
        if not limit.refuses(client):
            limit.hold(client, now)
            taken += 1
    return taken


def late(limit, looks, now=0.0):
    """Look ``looks`` times at a loop that is far too late."""
    for _look in range(looks):
        limit.adapt(10 * overload.TARGET_SECONDS, now)


def test_nobody_is_refused_while_the_loop_keeps_up():
    limit = overload.ClientLimit()
    limit.adapt(overload.TARGET_SECONDS / 2, 0.0)
    assert held(limit, "quiet", 1) == 1
    assert held(limit, "flood", 1000) == 1000


def test_a_late_loop_refuses_who_holds_most_and_nobody_else():
    limit = overload.ClientLimit()
    held(limit, "flood", 500)
    held(limit, "quiet", 2)
    late(limit, 3)
    assert limit.refuses("flood")
    assert not limit.refuses("quiet")
    assert not limit.refuses("new")


def test_each_client_keeps_a_floor():
    limit = overload.ClientLimit()
    held(limit, "quiet", 1)
    late(limit, 100)
    assert held(limit, "flood", 1000) == overload.FLOOR


def test_a_client_that_is_alone_is_not_limited():
    limit = overload.ClientLimit()
    held(limit, "only", 500)
    late(limit, 100)
    assert not limit.refuses("only")
    held(limit, "second", 1)
    assert limit.refuses("only")


def test_the_limit_is_lifted_once_the_loop_keeps_up():
    limit = overload.ClientLimit()
    held(limit, "flood", 100)
    held(limit, "quiet", 1)
    late(limit, 20)
    looks = 0
    while limit.refuses("flood"):
        limit.adapt(0.0, 0.0)
        looks += 1
        assert looks < 200


def test_idle_clients_are_forgotten():
    limit = overload.ClientLimit()
    held(limit, "gone", 1)
    limit.release("gone")
    held(limit, "busy", 1)
    limit.adapt(0.0, 1.0 + overload.ACTIVE_SECONDS)
    assert set(limit.clients) == {"busy"}
