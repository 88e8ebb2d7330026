"""Cost of the path through a node, compared with a direct connection.

The database is a stand-in. Times are wall-clock times, so only the ratios
within one run are meaningful.
"""

import concurrent.futures
import time

import attrs
import click
import psycopg

from ferry_ctl import _processes
from ferry_ctl import _report

LATENCY_STATEMENTS = 3_000
THROUGHPUT_S = 4.0
CLIENTS = 8
PIPELINE_DEPTH = 50
SQL = "SELECT 1"
STARTUP_TIMEOUT_S = 20.0


@attrs.frozen
class Target:
    """A database address to which statements are sent.

    Attributes:
        dsn: The connection string.
        password: The password; empty if none is needed.
    """

    dsn: str
    password: str = ""

    def connect(self) -> "psycopg.Connection[tuple[int]]":
        """Returns a connection in autocommit mode."""
        return psycopg.connect(
            self.dsn, password=self.password or None, autocommit=True
        )


def _latency(target: Target, token: bool) -> float:
    """Returns the median latency of a statement on one connection, in s."""
    times = []
    with target.connect() as conn:
        if token:
            _keep_session_token(conn)
        for _ in range(LATENCY_STATEMENTS):
            started_at = time.perf_counter()
            conn.execute(SQL).fetchone()
            times.append(time.perf_counter() - started_at)
    return _report.median(times)


def _client(target: Target, end: float, pipeline: int) -> int:
    done = 0
    with target.connect() as conn:
        _keep_session_token(conn)
        while time.perf_counter() < end:
            if pipeline == 1:
                conn.execute(SQL)
            else:
                with conn.pipeline():
                    for _ in range(pipeline):
                        conn.execute(SQL)
            done += pipeline
    return done


def _keep_session_token(conn: "psycopg.Connection[tuple[int]]") -> None:
    """Sets the session token on the connection, if the server issued one.

    The connection then carries the session's floors itself.
    """
    conn.execute(SQL)
    token = conn.pgconn.parameter_status(b"rosemaryferry.session")
    if token:
        conn.execute(f"SET rosemaryferry.session = '{token.decode()}'")


def _throughput(target: Target, pipeline: int) -> float:
    """Returns statements per second with `CLIENTS` concurrent clients."""
    started_at = time.perf_counter()
    end = started_at + THROUGHPUT_S
    with concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool:
        futs = [
            pool.submit(_client, target, end, pipeline) for _ in range(CLIENTS)
        ]
        done = sum(f.result() for f in futs)
    return done / (time.perf_counter() - started_at)


def wait_until_ready(target: Target) -> None:
    """Waits until `target` answers.

    Raises:
        click.ClickException: It did not answer within `STARTUP_TIMEOUT_S`.
    """
    end = time.monotonic() + STARTUP_TIMEOUT_S
    while True:
        try:
            with target.connect() as conn:
                conn.execute(SQL)
            return
        except psycopg.Error as exc:
            if time.monotonic() > end:
                raise click.ClickException(f"no answer: {exc}") from exc
            time.sleep(0.1)


def run(direct: Target, through: Target, pid: int) -> _report.Report:
    """Returns the cost through a node and, as the baseline, without it."""
    for target in (direct, through):
        wait_until_ready(target)
    before = _latency(direct, token=False)
    with_token = _latency(through, token=True)
    without_token = _latency(through, token=False)
    after = _latency(direct, token=False)
    direct_latency = min(before, after)
    cpu = _processes.processor_seconds(pid)
    rate = _throughput(through, 1)
    cpu = _processes.processor_seconds(pid) - cpu
    pipelined = _throughput(through, PIPELINE_DEPTH)
    direct_rate = _throughput(direct, 1)
    direct_pipelined = _throughput(direct, PIPELINE_DEPTH)
    return _report.Report(
        "path",
        0,
        {
            "latency_median_s": with_token,
            "latency_no_token_median_s": without_token,
            "latency_ratio": with_token / direct_latency,
            "latency_no_token_ratio": without_token / direct_latency,
            "noise_ratio": max(before, after) / direct_latency,
            "statements_per_s": rate,
            "statements_per_s_pipelined": pipelined,
            "throughput_ratio": rate / direct_rate,
            "throughput_pipelined_ratio": pipelined / direct_pipelined,
            "node_cpu_s_per_statement": cpu / (rate * THROUGHPUT_S),
        },
        {
            "direct": {
                "latency_median_s": direct_latency,
                "statements_per_s": direct_rate,
                "statements_per_s_pipelined": direct_pipelined,
            }
        },
    )
