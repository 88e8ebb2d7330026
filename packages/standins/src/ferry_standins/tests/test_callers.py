"""Tests of the caller protocol with a real client over real sockets."""

import itertools
import threading

import psycopg
import pytest

from ferry_standins.tests import helpers

serials = itertools.count(1000)


@pytest.mark.parametrize(
    ("name", "customer", "login", "password"),
    [
        ("wrong password", "lone-star", "clerk", "wrong"),
        ("empty password", "lone-star", "clerk", ""),
        ("unknown login", "lone-star", "pilot", helpers.PASSWORD),
        ("unknown customer", "nobody", "clerk", helpers.PASSWORD),
        ("login of another", "blue-mountain", "dealer", helpers.PASSWORD),
    ],
)
def test_refused_login(fleet, name, customer, login, password):
    with pytest.raises(psycopg.OperationalError):
        helpers.connect(
            fleet, customer=customer, login=login, password=password
        )


def test_foreign_database_is_refused(fleet):
    dsn = fleet.dsn(next(iter(fleet.nodes)), "lone-star", "clerk")
    dsn = dsn.replace("dbname=plates", "dbname=ops-core")
    with pytest.raises(psycopg.OperationalError):
        psycopg.connect(dsn, password=helpers.PASSWORD)


def test_own_write_is_read_through_every_other_node(fleet):
    for _ in range(5):
        serial = next(serials)
        with helpers.connect(fleet, 0) as writer:
            writer.execute(
                "INSERT INTO orders VALUES (%s, %s)", (serial, "own")
            )
        for node in (1, 2):
            with helpers.connect(fleet, node) as reader:
                found = reader.execute(
                    "SELECT note FROM orders WHERE serial = %s", (serial,)
                ).fetchall()
                assert found == [("own",)]


def test_token_carries_the_floor(fleet):
    serial = next(serials)
    with helpers.connect(fleet, 0) as writer:
        writer.execute("INSERT INTO orders VALUES (%s, 'x')", (serial,))
        token = writer.pgconn.parameter_status(b"rosemaryferry.session")
    with helpers.connect(fleet, 1) as reader:
        reader.execute(f"SET rosemaryferry.session = '{token.decode()}'")
        shown = reader.execute("SHOW rosemaryferry.session").fetchone()
        assert shown == (token.decode(),)
        sql = "SELECT count(*) FROM orders WHERE serial = %s"
        assert reader.execute(sql, (serial,)).fetchone() == (1,)


def test_transaction_commits_or_rolls_back_as_a_whole(fleet):
    serial = next(serials)
    with helpers.connect(fleet, 1, autocommit=False) as conn:
        conn.execute("INSERT INTO orders VALUES (%s, 'a')", (serial,))
        conn.rollback()
        conn.execute("INSERT INTO orders VALUES (%s, 'b')", (serial,))
        conn.commit()
    with helpers.connect(fleet, 2) as conn:
        sql = "SELECT note FROM orders WHERE serial = %s"
        assert conn.execute(sql, (serial,)).fetchall() == [("b",)]


def test_transactions_of_two_callers_do_not_mix(fleet):
    first, second = next(serials), next(serials)
    with (
        helpers.connect(fleet, 0, autocommit=False) as one,
        helpers.connect(fleet, 1, autocommit=False) as two,
    ):
        one.execute("INSERT INTO orders VALUES (%s, 'one')", (first,))
        done = threading.Event()

        def work():
            two.execute("INSERT INTO orders VALUES (%s, 'two')", (second,))
            two.commit()
            done.set()

        thread = threading.Thread(target=work)
        thread.start()
        one.rollback()
        assert done.wait(20)
        thread.join()
    with helpers.connect(fleet, 2) as conn:
        sql = "SELECT note FROM orders WHERE serial IN (%s, %s)"
        assert conn.execute(sql, (first, second)).fetchall() == [("two",)]


def test_prepared_statements_work_on_shared_connections(fleet):
    with helpers.connect(fleet, 2) as conn:
        for _ in range(12):
            serial = next(serials)
            conn.execute(
                "INSERT INTO orders VALUES (%s, %s)",
                (serial, "p"),
                prepare=True,
            )
            found = conn.execute(
                "SELECT note FROM orders WHERE serial = %s",
                (serial,),
                prepare=True,
            ).fetchone()
            assert found == ("p",)


def test_pipeline_answers_in_order(fleet):
    with helpers.connect(fleet, 0) as conn, conn.pipeline():
        cursors = [conn.execute("SELECT %s", (n,)) for n in range(20)]
        assert [int(c.fetchone()[0]) for c in cursors] == list(range(20))


def test_long_answer_arrives_whole(fleet):
    sql = (
        "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n "
        "WHERE i < 20000) SELECT i, 'xxxxxxxxxxxxxxxxxxxxxxxxxxxxxx' FROM n"
    )
    with helpers.connect(fleet, 1) as conn:
        rows = conn.execute(sql).fetchall()
    assert [r[0] for r in rows] == list(range(1, 20001))


def test_endpoint_error_reaches_the_caller(fleet):
    with helpers.connect(fleet, 0) as conn:
        with pytest.raises(psycopg.errors.SyntaxError):
            conn.execute("SELEC 1")
        assert conn.execute("SELECT 1").fetchone() == (1,)


@pytest.mark.parametrize(
    ("sql", "sqlstate"),
    [
        ("SET rosemaryferry.read = 'soon'", "22023"),
        ("SET rosemaryferry.nonsense = 1", "22023"),
        ("SET search_path = x", "0A000"),
        ("LISTEN orders", "0A000"),
    ],
)
def test_refused_statement_has_a_type_and_loses_nothing(fleet, sql, sqlstate):
    with helpers.connect(fleet, 0) as conn:
        with pytest.raises(psycopg.Error) as found:
            conn.execute(sql)
        assert found.value.sqlstate == sqlstate
        assert conn.execute("SELECT 1").fetchone() == (1,)


def test_idempotency_key_runs_once_through_any_node(fleet):
    serial = next(serials)
    key = f"order-{serial}"
    tags = []
    for node in (0, 1, 2):
        with helpers.connect(fleet, node) as conn:
            conn.execute(f"SET rosemaryferry.idempotency_key = '{key}'")
            cursor = conn.execute(
                f"INSERT INTO orders VALUES ({serial}, 'once') RETURNING serial"
            )
            tags.append((cursor.statusmessage, cursor.fetchall()))
    assert tags == [("INSERT 0 1", [(serial,)])] * 3


def test_idempotency_key_of_another_request_is_refused(fleet):
    one, two = next(serials), next(serials)
    with helpers.connect(fleet, 0) as conn:
        conn.execute("SET rosemaryferry.idempotency_key = 'shared'")
        conn.execute(f"INSERT INTO orders VALUES ({one}, 'a')")
        conn.execute("SET rosemaryferry.idempotency_key = 'shared'")
        with pytest.raises(psycopg.Error) as found:
            conn.execute(f"INSERT INTO orders VALUES ({two}, 'b')")
        assert found.value.sqlstate == "RF012"
        sql = "SELECT count(*) FROM orders WHERE serial = %s"
        assert conn.execute(sql, (two,)).fetchone() == (0,)


def test_write_through_a_read_goes_to_the_primary(fleet):
    """A connection that has sent a read can write and read its own write."""
    with helpers.connect(fleet, 0) as conn:
        conn.execute("SELECT 1")
        serial = next(serials)
        conn.execute(f"INSERT INTO orders VALUES ({serial}, 'w')")
        assert conn.execute(
            f"SELECT note FROM orders WHERE serial = {serial}"
        ).fetchone() == ("w",)


def test_read_only_transaction(fleet):
    with helpers.connect(fleet, 1) as conn:
        conn.execute("BEGIN READ ONLY")
        conn.execute("SELECT count(*) FROM orders")
        with pytest.raises(psycopg.Error) as found:
            conn.execute("INSERT INTO orders VALUES (1, 'no')")
        assert found.value.sqlstate == "25006"
        conn.execute("ROLLBACK")


@pytest.mark.parametrize("node", [0, 1, 2])
def test_cancel_reaches_the_endpoint_through_any_node(fleet, node):
    primary = fleet.primary("plates")
    with helpers.connect(fleet, node) as conn:
        conn.execute("SELECT 1")
        primary.faults.statement_s = 1.0
        serial = next(serials)
        failures = []

        def work():
            try:
                conn.execute(f"INSERT INTO orders VALUES ({serial}, 'c')")
            except psycopg.Error as exc:
                failures.append(exc.sqlstate)

        thread = threading.Thread(target=work)
        thread.start()
        helpers.eventually(lambda: any(s.is_running for s in primary.sessions))
        conn.cancel_safe(timeout=10)
        thread.join(20)
        primary.faults.statement_s = 0.0
        assert failures == ["57014"]
        conn.execute("SET rosemaryferry.read = 'primary'")
        sql = f"SELECT count(*) FROM orders WHERE serial = {serial}"
        assert conn.execute(sql).fetchone() == (0,)
