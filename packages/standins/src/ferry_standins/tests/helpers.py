"""Helpers of the end-to-end tests."""

import time

from ferry_node import _board
import psycopg

import ferry_standins as standins

PASSWORD = "correct"


def connect(fleet, node=0, customer="lone-star", login="clerk", **kwargs):
    name = list(fleet.nodes)[node]
    kwargs.setdefault("password", PASSWORD)
    kwargs.setdefault("autocommit", True)
    return psycopg.connect(fleet.dsn(name, customer, login), **kwargs)


def eventually(check, seconds=20.0):
    """Waits until a check succeeds and returns its result.

    The time limit only matters to a test that fails.
    """
    end = time.monotonic() + seconds
    while True:
        try:
            found = check()
        except (psycopg.Error, standins.FleetNotReadyError):
            found = None
        if found:
            return found
        assert time.monotonic() < end, "condition was not met in time"
        time.sleep(0.05)


def start_fleet():
    fleet = standins.Fleet(standins.FleetPlan())
    fleet.add_contract("lone-star", {"clerk": PASSWORD, "dealer": PASSWORD}, 10)
    fleet.add_contract("blue-mountain", {"clerk": PASSWORD}, 1)
    eventually(lambda: _is_ready(fleet))
    return fleet


def _is_ready(fleet):
    with connect(fleet) as conn:
        conn.execute(
            "CREATE TABLE IF NOT EXISTS orders "
            "(serial integer PRIMARY KEY, note text)"
        )
    return all(
        len(n.board.read(_board.NODES)) == 3 for n in fleet.nodes.values()
    )
