"""What is known of a statement from its text."""

import pytest

import ferry_decisions as decisions

K = decisions.StatementKind


@pytest.mark.parametrize(
    ("sql", "kind"),
    [
        ("SELECT 1", K.READ),
        ("  select * from plates;", K.READ),
        ("VALUES (1)", K.READ),
        ("SELECT * FROM plates FOR UPDATE", K.WRITE),
        ("SELECT 1; DELETE FROM plates", K.WRITE),
        ("WITH x AS (DELETE FROM a RETURNING 1) SELECT * FROM x", K.WRITE),
        ("INSERT INTO plates VALUES (1)", K.WRITE),
        ("/* note */ SELECT 1", K.WRITE),
        ("BEGIN", K.BEGIN),
        ("START TRANSACTION ISOLATION LEVEL SERIALIZABLE", K.BEGIN),
        ("BEGIN READ ONLY", K.BEGIN_READ_ONLY),
        ("COMMIT", K.END),
        ("ROLLBACK", K.END),
        ("ROLLBACK TO SAVEPOINT a", K.WRITE),
        ("SET rosemaryferry.read = 'age 5s'", K.SET),
        ("SHOW rosemaryferry.session", K.SHOW),
        ("SET search_path = x", K.SESSION_STATE),
        ("SET LOCAL search_path = x", K.WRITE),
        ("LISTEN orders", K.SESSION_STATE),
    ],
)
def test_classify(sql, kind):
    assert decisions.classify(sql).kind is kind


def test_setting_value_is_unquoted():
    found = decisions.classify("SET rosemaryferry.idempotency_key TO 'a''b';")
    assert (found.name, found.value) == ("idempotency_key", "a'b")
