"""A fleet on loopback that the end-to-end tests share."""

import pytest

from ferry_standins.tests import helpers


@pytest.fixture(scope="session")
def fleet():
    found = helpers.started()
    yield found
    found.close()


@pytest.fixture
def own_fleet():
    found = helpers.started()
    yield found
    found.close()
