"""Tests of failover, lost nodes and lost connections over real sockets."""

import concurrent.futures

import attrs
from ferry_node import _board
import psycopg
import pytest

from ferry_standins.tests import helpers


def insert(fleet, node, serial):
    with helpers.connect(fleet, node) as conn:
        conn.execute("INSERT INTO orders VALUES (%s, 'f')", (serial,))
    return True


def stored(fleet, node):
    with helpers.connect(fleet, node) as conn:
        conn.execute("SET rosemaryferry.read = 'primary'")
        rows = conn.execute("SELECT serial FROM orders").fetchall()
    return sorted(r[0] for r in rows)


def on_loop(fleet, work):
    fleet.on_loop(work)


@pytest.mark.parametrize("fault", ["isolate", "crash"])
def test_orders_go_on_and_none_is_lost(own_fleet, fault):
    fleet = own_fleet
    for serial in range(1, 6):
        insert(fleet, serial % 3, serial)
    old_primary = fleet.primary("plates")
    if fault == "isolate":
        fleet.isolate("plates", old_primary.name)
    else:
        on_loop(fleet, old_primary.stop)
    serials = iter(range(100, 1000))
    helpers.eventually(lambda: insert(fleet, 1, next(serials)))
    assert fleet.primary("plates").name != old_primary.name
    if fault == "isolate":
        fleet.heal("plates", old_primary.name)
    else:
        on_loop(fleet, old_primary.restart)
    helpers.eventually(
        lambda: old_primary.replica.term == fleet.primary("plates").replica.term
    )
    assert not old_primary.replica.leads
    assert set(range(1, 6)) <= set(stored(fleet, 2))


def test_transaction_of_a_dead_node_is_rolled_back(own_fleet):
    fleet = own_fleet
    primary = fleet.primary("plates")
    remote = next(
        i
        for i, n in enumerate(fleet.nodes.values())
        if n.cfg.data_centre not in primary.name
    )
    conn = helpers.connect(fleet, remote, autocommit=False)
    conn.execute("INSERT INTO orders VALUES (7, 'open')")
    fleet.kill_node(list(fleet.nodes)[remote])
    with pytest.raises(psycopg.OperationalError):
        conn.commit()
    helpers.eventually(lambda: insert(fleet, 0, 8))
    assert 7 not in stored(fleet, 0)


def test_lost_transaction_stays_failed_until_it_is_ended(own_fleet):
    fleet = own_fleet
    conn = helpers.connect(fleet, 0)
    conn.execute("BEGIN")
    conn.execute("INSERT INTO orders VALUES (20, 'half')")
    old_primary = fleet.primary("plates")
    fleet.isolate("plates", old_primary.name)
    serials = iter(range(100, 1000))
    helpers.eventually(lambda: insert(fleet, 1, next(serials)))
    with pytest.raises(psycopg.Error) as found:
        conn.execute("INSERT INTO orders VALUES (21, 'half')")
    assert found.value.sqlstate == "RF010"
    with pytest.raises(psycopg.Error) as found:
        conn.execute("INSERT INTO orders VALUES (22, 'half')")
    assert found.value.sqlstate == "25P02"
    assert conn.execute("COMMIT").statusmessage == "ROLLBACK"
    conn.close()
    assert not {20, 21, 22} & set(stored(fleet, 1))


def test_leaving_endpoint_is_no_longer_primary(own_fleet):
    fleet = own_fleet
    insert(fleet, 0, 1)
    old_primary = fleet.primary("plates")
    fleet.vms.leave(old_primary.name)
    helpers.eventually(lambda: fleet.primary("plates").name != old_primary.name)
    serials = iter(range(100, 1000))
    helpers.eventually(lambda: insert(fleet, 2, next(serials)))
    assert 1 in stored(fleet, 1)


def test_node_that_starts_while_the_store_is_down_learns_from_peers(own_fleet):
    fleet = own_fleet
    fleet.kv.faults.down = True
    fleet.add_node("hall-b-2", "hall-b")
    helpers.eventually(lambda: insert(fleet, 3, 50))
    assert 50 in stored(fleet, 0)


def test_planned_stop_finishes_what_is_open(own_fleet):
    fleet = own_fleet
    name = list(fleet.nodes)[0]
    node = fleet.nodes[name]
    busy = helpers.connect(fleet, 0, autocommit=False)
    idle = helpers.connect(fleet, 0)
    busy.execute("INSERT INTO orders VALUES (60, 'last')")
    stopped = fleet.stop_node(name)
    # Until the node is stopping, a SELECT would wait for the lock of the open
    # transaction.
    helpers.eventually(lambda: node.stopping)
    with pytest.raises(psycopg.errors.AdminShutdown):
        while True:
            idle.execute("SELECT 1")
    busy.commit()
    busy.close()
    assert stopped.result(20) == 0
    assert node.caller_count == 0
    assert 60 in stored(fleet, 1)


# Guards against callers whose connection ends without an answer, as what they
# wait for runs longer than a planned stop.
@pytest.mark.parametrize(
    ("begin", "sqlstate"),
    [([], "RF101"), (["INSERT INTO orders VALUES (80, 'x')"], "RF101")],
)
def test_a_planned_stop_answers_what_it_cuts_off(own_fleet, begin, sqlstate):
    fleet = own_fleet
    name = list(fleet.nodes)[0]
    node = fleet.nodes[name]
    policy = attrs.evolve(node.cfg.policy, stop_s=0.5)
    node.cfg = attrs.evolve(node.cfg, policy=policy)
    conn = helpers.connect(fleet, 0, autocommit=not begin)
    for text in begin:
        conn.execute(text)
    for member in fleet.members["plates"].values():
        member.faults.statement_s = 30.0
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        running = pool.submit(
            conn.execute, "INSERT INTO orders VALUES (81, 'cut')"
        )
        helpers.eventually(lambda: node.busy)
        assert fleet.stop_node(name).result(20) > 0
        with pytest.raises(psycopg.Error) as found:
            running.result(5)
    assert found.value.sqlstate == sqlstate
    assert node.caller_count == 0


def test_a_planned_stop_tells_callers_of_open_transactions(own_fleet):
    fleet = own_fleet
    name = list(fleet.nodes)[0]
    node = fleet.nodes[name]
    policy = attrs.evolve(node.cfg.policy, stop_s=0.5)
    node.cfg = attrs.evolve(node.cfg, policy=policy)
    conn = helpers.connect(fleet, 0, autocommit=False)
    conn.execute("INSERT INTO orders VALUES (82, 'open')")
    assert fleet.stop_node(name).result(20) > 0
    with pytest.raises(psycopg.Error) as found:
        conn.execute("SELECT 1")
    assert found.value.sqlstate == "RF010"
    assert 82 not in stored(fleet, 1)


def test_silent_idle_connection_is_replaced_before_a_write(own_fleet):
    """Open connections silently stop working while new ones succeed."""
    fleet = own_fleet
    insert(fleet, 0, 1)
    primary = fleet.primary("plates")
    on_loop(fleet, lambda: [s.blackhole() for s in primary.sessions])
    helpers.eventually(lambda: insert(fleet, 0, 70))
    assert fleet.primary("plates").name == primary.name
    assert primary.replica.term == 1


def caller_sessions(member):
    return [s for s in member.sessions if not s.is_control]


def test_leaving_replica_gets_no_new_work(own_fleet):
    fleet = own_fleet
    insert(fleet, 0, 1)
    primary = fleet.primary("plates").name
    centre = next(c for c in fleet.plan.data_centres if c not in primary)
    node = list(fleet.nodes).index(f"{centre}-1")
    replica = fleet.members["plates"][f"plates-{centre}"]
    with helpers.connect(fleet, node) as conn:

        def read():
            return conn.execute("SELECT count(*) FROM orders").fetchone()

        helpers.eventually(lambda: read() and caller_sessions(replica))
        fleet.vms.leave(replica.name)
        address = f"127.0.0.1:{replica.port}"
        helpers.eventually(lambda: address in leaving_addresses(fleet, node))
        on_loop(fleet, replica.drop_callers)
        for _ in range(20):
            assert read() == (1,)
        assert not caller_sessions(replica)


def leaving_addresses(fleet, node):
    found = list(fleet.nodes.values())[node]
    return found.board.read(_board.LEAVING)


def test_leaving_node_hands_its_members_on(own_fleet):
    fleet = own_fleet
    name = list(fleet.nodes)[0]
    node = fleet.nodes[name]
    assert node.controller.services
    fleet.vms.leave(name)
    helpers.eventually(lambda: not node.controller.services)
    helpers.eventually(lambda: insert(fleet, 1, 5))
    helpers.eventually(lambda: insert(fleet, 0, 6))
