"""`rosemaryferryctl demo`: a failover under load on in-process stand-ins."""

import concurrent.futures
import random
import sys
import threading
import time

from absl import logging
import attrs
import click
import ferry_standins as standins
import psycopg

from ferry_ctl import _standins

CLERKS_PER_CUSTOMER = {"lone-star": 20, "blue-mountain": 5}
RUN_S = 9.0
FAULT_AT_S = 4.0
STARTUP_S = 10.0
ORDER_SHARE = 0.1
REPLICATION_DELAY_S = 0.02
REQUEST_INTERVAL_S = 0.004


class DemoFailedError(click.ClickException):
    """The demo could not be carried out."""


@attrs.define
class Tally:
    """Counts of what the clerks observed, shared by their threads.

    Attributes:
        statements: Number of answered statements.
        refused: Number of requests reported as not run.
        unknown: Number of requests whose outcome is unknown.
        violations: Number of reads that lacked an order of the same clerk.
        acknowledged: Serial numbers of acknowledged orders.
        unknown_orders: Serial numbers of orders whose outcome is unknown.
        not_run: Serial numbers of orders reported as not run.
        ack_times: Monotonic time of each acknowledgement, in seconds.
        lock: Guards the other attributes.
    """

    statements: int = 0
    refused: int = 0
    unknown: int = 0
    violations: int = 0
    acknowledged: set[int] = attrs.field(factory=set)
    unknown_orders: set[int] = attrs.field(factory=set)
    not_run: set[int] = attrs.field(factory=set)
    ack_times: list[float] = attrs.field(factory=list)
    lock: threading.Lock = attrs.field(factory=threading.Lock)


class Clerk:
    """Places orders and reads them back, through a random node each time."""

    def __init__(
        self,
        fleet: standins.Fleet,
        customer: str,
        number: int,
        tally: Tally,
    ) -> None:
        self._fleet = fleet
        self._customer = customer
        self._number = number
        self._tally = tally
        self._random = random.Random(f"{customer}-{number}")
        self._conns: dict[str, psycopg.Connection[tuple[int]]] = {}
        self._token = ""
        self._own_orders: set[int] = set()
        self._order_count = 0

    def work(self, end: float) -> None:
        """Sends requests until `end`, in seconds of the monotonic clock."""
        while time.monotonic() < end:
            node = self._random.choice(list(self._fleet.nodes))
            if self._random.random() < ORDER_SHARE:
                self._order(node)
            else:
                self._read(node)
            time.sleep(REQUEST_INTERVAL_S)

    def close(self) -> None:
        """Closes all connections of this clerk."""
        for conn in self._conns.values():
            conn.close()

    def _conn(self, node: str) -> "psycopg.Connection[tuple[int]]":
        conn = self._conns.get(node)
        if conn is None or conn.closed:
            dsn = self._fleet.dsn(node, self._customer, "clerk")
            conn = psycopg.connect(
                dsn, password=_standins.PASSWORD, autocommit=True
            )
            self._conns[node] = conn
        if self._token:
            conn.execute(f"SET rosemaryferry.session = '{self._token}'")
        return conn

    def _keep_token(self, conn: "psycopg.Connection[tuple[int]]") -> None:
        status = conn.pgconn.parameter_status(b"rosemaryferry.session")
        if status:
            self._token = status.decode()

    def _order(self, node: str) -> None:
        self._order_count += 1
        serial = self._number * 1_000_000 + self._order_count
        try:
            conn = self._conn(node)
            conn.execute(
                "INSERT INTO orders (serial, customer) VALUES (%s, %s)",
                (serial, self._customer),
            )
        except psycopg.Error as exc:
            self._note_failure(exc, serial)
            return
        self._keep_token(conn)
        self._own_orders.add(serial)
        with self._tally.lock:
            self._tally.statements += 1
            self._tally.acknowledged.add(serial)
            self._tally.ack_times.append(time.monotonic())

    def _read(self, node: str) -> None:
        try:
            conn = self._conn(node)
            rows = conn.execute(
                "SELECT serial FROM orders WHERE serial > %s AND serial < %s",
                (self._number * 1_000_000, (self._number + 1) * 1_000_000),
            ).fetchall()
        except psycopg.Error as exc:
            self._note_failure(exc, None)
            return
        self._keep_token(conn)
        seen = {row[0] for row in rows}
        with self._tally.lock:
            self._tally.statements += 1
            if not self._own_orders <= seen:
                self._tally.violations += 1

    def _note_failure(self, exc: psycopg.Error, serial: int | None) -> None:
        detail = exc.diag.message_detail or "outcome=unknown"
        with self._tally.lock:
            if "not_run" in detail:
                self._tally.refused += 1
                if serial is not None:
                    self._tally.not_run.add(serial)
            else:
                self._tally.unknown += 1
                if serial is not None:
                    self._tally.unknown_orders.add(serial)


def start_fleet() -> standins.Fleet:
    """Starts a fleet with both customers' contracts; waits until it serves.

    Raises:
        DemoFailedError: It does not serve within `STARTUP_S`.
    """
    logging.set_verbosity(logging.ERROR)
    fleet = standins.Fleet(standins.FleetPlan())
    for customer, share in _standins.CUSTOMERS.items():
        fleet.add_contract(customer, {"clerk": _standins.PASSWORD}, share)
    end = time.monotonic() + STARTUP_S
    while True:
        try:
            node = next(iter(fleet.nodes))
            dsn = fleet.dsn(node, "lone-star", "clerk")
            with psycopg.connect(
                dsn, password=_standins.PASSWORD, autocommit=True
            ) as conn:
                conn.execute(
                    "CREATE TABLE IF NOT EXISTS orders "
                    "(serial integer PRIMARY KEY, customer text)"
                )
            return fleet
        except psycopg.Error as exc:
            if time.monotonic() > end:
                fleet.close()
                raise DemoFailedError(
                    f"the fleet did not start: {exc}"
                ) from exc
            time.sleep(0.1)


@click.command()
@click.option(
    "--serve", is_flag=True, help="Keep serving, for use with your own client."
)
def demo(serve: bool) -> None:
    """Runs clients on stand-ins through a failover and prints a summary."""
    fleet = start_fleet()
    try:
        if serve:
            _serve(fleet)
        else:
            _run(fleet)
    finally:
        fleet.close()


def _serve(fleet: standins.Fleet) -> None:
    for name, node in fleet.nodes.items():
        dsn = fleet.dsn(name, "lone-star", "clerk")
        click.echo(f"{name}: {dsn} password={_standins.PASSWORD}")
        click.echo(f"  administration: http://127.0.0.1:{node.admin.port}")
    click.echo(f"  operators' token: {standins.ADMIN_TOKEN}")
    click.echo("Ctrl-C ends it.")
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        click.echo("ended")


def _run(fleet: standins.Fleet) -> None:
    tally = Tally()
    clerks = [
        Clerk(fleet, customer, number + offset, tally)
        for offset, (customer, count) in zip(
            (1, 101), CLERKS_PER_CUSTOMER.items(), strict=True
        )
        for number in range(count)
    ]
    fleet.groups["plates"].faults.delay_s = REPLICATION_DELAY_S
    end = time.monotonic() + RUN_S
    with concurrent.futures.ThreadPoolExecutor(len(clerks)) as pool:
        futs = [pool.submit(clerk.work, end) for clerk in clerks]
        time.sleep(FAULT_AT_S)
        old = fleet.primary("plates")
        fault_at = time.monotonic()
        fleet.isolate("plates", old.name)
        for fut in futs:
            fut.result()
    for clerk in clerks:
        clerk.close()
    stored = _stored(fleet)
    _report(fleet, tally, stored, fault_at, old.name)


def _stored(fleet: standins.Fleet) -> list[int]:
    node = list(fleet.nodes)[-1]
    dsn = fleet.dsn(node, "lone-star", "clerk")
    with psycopg.connect(
        dsn, password=_standins.PASSWORD, autocommit=True
    ) as conn:
        conn.execute("SET rosemaryferry.read = 'primary'")
        rows = conn.execute("SELECT serial FROM orders").fetchall()
    return [row[0] for row in rows]


def _report(
    fleet: standins.Fleet,
    tally: Tally,
    stored: list[int],
    fault_at: float,
    old: str,
) -> None:
    lost = tally.acknowledged - set(stored)
    duplicated = len(stored) - len(set(stored))
    executed_refusals = tally.not_run & set(stored)
    before = max((t for t in tally.ack_times if t <= fault_at), default=0.0)
    after = min((t for t in tally.ack_times if t > fault_at + 0.5), default=0)
    by_replicas = sum(
        n.dispatcher.reads_by_replicas for n in fleet.nodes.values()
    )
    by_primary = sum(
        n.dispatcher.reads_by_primary for n in fleet.nodes.values()
    )
    share = by_replicas / max(1, by_replicas + by_primary)
    lines = [
        ("statements answered", f"{tally.statements}"),
        ("orders acknowledged", f"{len(tally.acknowledged)}"),
        ("replica share of reads", f"{share:.1%}"),
        ("consistency violations", f"{tally.violations}"),
        ("orders lost or doubled", f"{len(lost) + duplicated}"),
        ("'not run' that ran", f"{len(executed_refusals)}"),
        ("told not run", f"{tally.refused}"),
        ("told unknown", f"{tally.unknown}"),
        ("old and new primary", f"{old} -> {fleet.primary('plates').name}"),
        ("failover gap", f"{after - before:.2f} s"),
    ]
    for name, value in lines:
        click.echo(f"{name:26} {value}")
    if tally.violations or lost or duplicated or executed_refusals or not after:
        sys.exit(1)
