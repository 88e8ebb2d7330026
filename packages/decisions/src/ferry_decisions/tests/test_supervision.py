"""Tests of flows that run without a caller that reads their outcome."""

import pytest

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


class FailingWork:
    """A flow that fails a number of times, and then runs until it is ended."""

    def __init__(self, timers, failures, run_s=0.0):
        self.timers = timers
        self.failures = failures
        self.run_s = run_s
        self.started_at = []
        self.recoveries = 0
        self.end: decisions.Future[None] = decisions.Future()

    def run(self):
        self.started_at.append(self.timers.now())
        yield decisions.sleep(self.timers, self.run_s)
        if len(self.started_at) <= self.failures:
            raise OverflowError("too large")
        yield self.end

    def recover(self):
        self.recoveries += 1


def supervise(work):
    supervisor = decisions.Supervisor(
        work.timers, "copy items", work.run, work.recover
    )
    supervisor.start()
    return supervisor


# Guards against nodes that look healthy after a lasting flow has ended.
def test_a_lasting_flow_that_fails_is_logged_and_run_anew(caplog):
    work = FailingWork(decisions.VirtualTimers(), failures=2)
    supervisor = supervise(work)
    work.timers.advance(5.0)
    assert work.started_at == pytest.approx([0.0, 0.1, 0.3])
    assert (supervisor.restarts, work.recoveries) == (2, 2)
    assert caplog.text.count("flow=copy items") == 2
    decisions.resolve(work.end, None)
    work.timers.advance(5.0)
    assert len(work.started_at) == 3


def test_a_flow_that_always_fails_is_run_anew_at_a_bounded_rate():
    work = FailingWork(decisions.VirtualTimers(), failures=1000)
    supervise(work)
    work.timers.advance(30.0)
    assert 30 <= len(work.started_at) <= 35


def test_a_flow_that_ran_for_long_is_run_anew_at_once():
    work = FailingWork(decisions.VirtualTimers(), failures=1000, run_s=10.0)
    supervise(work)
    work.timers.advance(50.0)
    assert work.started_at == pytest.approx([0.0, 10.1, 20.2, 30.3, 40.4])


def test_a_recovery_that_fails_does_not_end_the_supervision():
    work = FailingWork(decisions.VirtualTimers(), failures=1)

    def fail():
        raise OverflowError("recovery")

    supervisor = decisions.Supervisor(work.timers, "copy", work.run, fail)
    supervisor.start()
    with pytest.raises(OverflowError, match="recovery"):
        work.timers.advance(1.0)
    work.timers.advance(1.0)
    assert len(work.started_at) == 2
