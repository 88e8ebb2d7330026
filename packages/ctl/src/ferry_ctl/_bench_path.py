"""The cost of the path: through a node, against the stand-in reached directly.

Wall time, so the figures that count are ratios within one run.
"""

import concurrent.futures
import time

import attrs
import click
import psycopg

from ferry_ctl import _report

LATENCY_STATEMENTS = 3_000
THROUGHPUT_S = 4.0
CLIENTS = 8
PIPELINE = 50
SQL = "SELECT 1"
WAIT_S = 20.0


@attrs.frozen
class Place:
    """Where statements are sent.

    Attributes:
        dsn: The connection string.
        password: The password; empty for none.
    """

    dsn: str
    password: str = ""

    def connect(self) -> "psycopg.Connection[tuple[int]]":
        """Returns a connection in autocommit mode."""
        return psycopg.connect(
            self.dsn, password=self.password or None, autocommit=True
        )


def _latency(place: Place) -> float:
    """Returns the median seconds of a statement at one connection."""
    times = []
    with place.connect() as conn:
        for _ in range(LATENCY_STATEMENTS):
            begun = time.perf_counter()
            conn.execute(SQL).fetchone()
            times.append(time.perf_counter() - begun)
    return _report.median(times)


def _client(place: Place, end: float) -> int:
    done = 0
    with place.connect() as conn:
        while time.perf_counter() < end:
            with conn.pipeline():
                for _ in range(PIPELINE):
                    conn.execute(SQL)
            done += PIPELINE
    return done


def _throughput(place: Place) -> float:
    """Returns statements a second with several pipelining clients."""
    begun = time.perf_counter()
    end = begun + THROUGHPUT_S
    with concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool:
        futs = [pool.submit(_client, place, end) for _ in range(CLIENTS)]
        done = sum(f.result() for f in futs)
    return done / (time.perf_counter() - begun)


def _wait_for(place: Place) -> None:
    end = time.monotonic() + WAIT_S
    while True:
        try:
            with place.connect() as conn:
                conn.execute(SQL)
            return
        except psycopg.Error as exc:
            if time.monotonic() > end:
                raise click.ClickException(f"no answer: {exc}") from exc
            time.sleep(0.1)


def run(direct: Place, through: Place) -> _report.Report:
    """Returns the cost through a node beside the cost without it."""
    for place in (direct, through):
        _wait_for(place)
    latency = [_latency(direct), _latency(through), _latency(direct)]
    rates = [_throughput(direct), _throughput(through)]
    near = min(latency[0], latency[2])
    return _report.Report(
        "path",
        0,
        {
            "latency_median_s": latency[1],
            "statements_per_s": rates[1],
            "latency_ratio": latency[1] / near,
            "throughput_ratio": rates[1] / rates[0],
            "noise_ratio": max(latency[0], latency[2]) / near,
        },
        {"direct": {"latency_median_s": near, "statements_per_s": rates[0]}},
    )
