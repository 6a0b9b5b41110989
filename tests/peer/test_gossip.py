from clementinebay.peer.gossip import MAX_REMOVED_SERVICES, Neighbour, ServiceTable
from clementinebay.peer.wire import ttypes as wire


def message(table, base, known=0):
    services = [wire.ServiceCapacity(*change, 0) for change in table.changes(base)]
    return wire.Gossip("p", "e", 1, services, version=table.version, base=base)


def test_delta_contains_only_changes_and_removes_services():
    table, neighbour = ServiceTable(1000.0), Neighbour()
    table.update({"feed": 3, "minutes": 2})
    neighbour.learn(message(table, 0))
    table.update({"feed": 4})
    base = table.base(neighbour.version)
    assert sorted(table.changes(base)) == [("feed", 4), ("minutes", 0)]
    neighbour.learn(message(table, base))
    assert neighbour.table == {"feed": 4}


def test_delta_from_an_unknown_base_is_ignored():
    table, neighbour = ServiceTable(1000.0), Neighbour()
    table.update({"feed": 3})
    base = table.version
    table.update({"feed": 4})
    neighbour.learn(message(table, base))
    assert neighbour.table == {} and neighbour.version == 0


def test_restarted_peer_sends_the_whole_table():
    before, after = ServiceTable(1000.0), ServiceTable(1060.0)
    before.update({"feed": 3, "old": 1})
    neighbour = Neighbour()
    neighbour.learn(message(before, 0))
    after.update({"feed": 1})
    assert after.base(neighbour.version) == 0
    neighbour.learn(message(after, 0))
    assert neighbour.table == {"feed": 1}


def test_table_drops_removed_services_beyond_a_limit():
    table = ServiceTable(1000.0)
    for number in range(2 * MAX_REMOVED_SERVICES):
        table.update({f"service-{number}": 1})
    assert len(table.change_versions) <= MAX_REMOVED_SERVICES + 1
    assert table.changes(0) == [(f"service-{2 * MAX_REMOVED_SERVICES - 1}", 1)]
