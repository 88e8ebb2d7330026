"""Tests of flows that run without a caller that reads their outcome."""

import ferry_decisions as decisions


def failing_flow():
    yield decisions.completed("a secret")
    raise OverflowError("too large")


# Guards against flows that end with an error that no log shows.
def test_the_error_of_a_detached_flow_is_logged(caplog):
    done = decisions.start_detached("copy items", failing_flow())
    assert done.result() is None
    assert "flow=copy items" in caplog.text
    assert "OverflowError: too large" in caplog.text


# Guards against logs that quote what another flow has returned.
def test_the_traceback_of_an_error_does_not_quote_a_result(caplog):
    def values():
        yield decisions.completed(None)
        return "a secret"

    def failing_reader():
        yield decisions.start(values())
        raise OverflowError("too large")

    pause: decisions.Future[None] = decisions.Future()

    def late_values():
        yield pause
        return "a secret"

    def late_reader():
        yield decisions.start(late_values())
        raise OverflowError("too large")

    decisions.start_detached("read", failing_reader())
    decisions.start_detached("read late", late_reader())
    decisions.resolve(pause, None)
    assert caplog.text.count("OverflowError: too large") == 2
    assert "a secret" not in caplog.text
