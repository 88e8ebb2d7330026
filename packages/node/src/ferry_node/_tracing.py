"""Tracing with OpenTelemetry, with one span for each hop of a request.

While tracing is off, `Tracer.begin` returns one shared no-op span, so that a
statement pays for a function call only.
"""

from collections.abc import Sequence
import typing

from absl import logging
from opentelemetry import trace
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export
from opentelemetry.trace import propagation

_CONTEXT_PARTS = 2


class Span(typing.Protocol):
    """One hop of a request.

    Attributes:
        context: The trace and span ids to pass to the next hop; empty when
            tracing is off.
    """

    context: str

    def end(self, outcome: str) -> None:
        """Ends the span and records the outcome of the hop."""


class _NoopSpan:
    """The shared span of a disabled tracer."""

    context = ""

    def end(self, outcome: str) -> None:
        """Does nothing."""


_NOOP_SPAN = _NoopSpan()


class _RecordedSpan:
    """A span that is recorded and exported."""

    def __init__(self, span: trace.Span) -> None:
        self._span = span
        ids = span.get_span_context()
        self.context = f"{ids.trace_id:032x}-{ids.span_id:016x}"

    def end(self, outcome: str) -> None:
        """Ends the span and records the outcome of the hop."""
        self._span.set_attribute("outcome", outcome)
        self._span.end()


class LogExporter(export.SpanExporter):
    """Writes each span as one structured log line."""

    def export(
        self, spans: Sequence[sdk.ReadableSpan]
    ) -> export.SpanExportResult:
        """Logs finished spans."""
        for span in spans:
            ids = span.get_span_context()
            if ids is None:
                continue
            duration_ns = (span.end_time or 0) - (span.start_time or 0)
            logging.info(
                "event=span trace=%032x span=%016x name=%s took_us=%d %s",
                ids.trace_id,
                ids.span_id,
                span.name,
                duration_ns // 1000,
                _attributes(span),
            )
        return export.SpanExportResult.SUCCESS


def _attributes(span: sdk.ReadableSpan) -> str:
    found = span.attributes or {}
    return " ".join(f"{name}={value!s}" for name, value in found.items())


class Tracer:
    """Starts spans; they do nothing when tracing is off."""

    def __init__(
        self, enabled: bool, exporter: export.SpanExporter | None = None
    ) -> None:
        self._tracer: trace.Tracer | None = None
        if enabled:
            provider = sdk.TracerProvider()
            processor = export.SimpleSpanProcessor(exporter or LogExporter())
            provider.add_span_processor(processor)
            self._tracer = provider.get_tracer("rosemaryferry")

    def begin(self, name: str, parent: str = "") -> Span:
        """Starts a span.

        Args:
            name: The name of the hop.
            parent: The `context` of the parent span; empty for a root span.
        """
        if self._tracer is None:
            return _NOOP_SPAN
        context = None
        ids = parent.split("-")
        if len(ids) == _CONTEXT_PARTS:
            parent_context = trace.SpanContext(
                int(ids[0], 16),
                int(ids[1], 16),
                is_remote=True,
                trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
            )
            context = propagation.set_span_in_context(
                trace.NonRecordingSpan(parent_context)
            )
        return _RecordedSpan(self._tracer.start_span(name, context=context))
