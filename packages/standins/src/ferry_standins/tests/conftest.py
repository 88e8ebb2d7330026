"""Fixtures of the end-to-end tests: fleets on loopback."""

import pytest

from ferry_standins.tests import helpers


@pytest.fixture(scope="session")
def fleet():
    """Yields a fleet that the tests of a session share."""
    started_fleet = helpers.start_fleet()
    yield started_fleet
    started_fleet.close()


@pytest.fixture
def own_fleet():
    """Yields a fleet for one test, which may break it."""
    started_fleet = helpers.start_fleet()
    yield started_fleet
    started_fleet.close()
