"""Metrics of a node: counters and latency histograms."""

import collections

from hdrh import histogram

# The range and the precision of the latency histograms.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
# Further customers get no latency histogram, which bounds the memory used.
MAX_HISTOGRAMS = 2_000


class Metrics:
    """Batch counts and latencies since the start of the process."""

    def __init__(self) -> None:
        self._outcomes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latency: dict[str, histogram.HdrHistogram] = {}

    def record(self, customer: str, seconds: float, outcome: str) -> None:
        """Records the latency and the outcome of one batch."""
        self._outcomes[(customer, outcome)] += 1
        found = self._latency.get(customer)
        if found is None:
            if len(self._latency) >= MAX_HISTOGRAMS:
                return
            found = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._latency[customer] = found
        found.record_value(max(MIN_LATENCY_US, int(seconds * 1e6)))

    def count(self, outcome: str) -> int:
        """Returns the number of batches with an outcome, over all customers."""
        return sum(n for (_, o), n in self._outcomes.items() if o == outcome)

    def render(self, gauges: dict[str, float]) -> str:
        """Returns all metrics in Prometheus's text format.

        Args:
            gauges: Additional values, by metric name with labels.
        """
        lines = ["# TYPE rosemaryferry_batches_total counter"]
        for (customer, outcome), count in sorted(self._outcomes.items()):
            labels = f'customer="{customer}",outcome="{outcome}"'
            lines.append(f"rosemaryferry_batches_total{{{labels}}} {count}")
        lines.append("# TYPE rosemaryferry_batch_seconds summary")
        for customer, found in sorted(self._latency.items()):
            for quantile in QUANTILES:
                value = found.get_value_at_percentile(quantile) / 1e6
                labels = f'customer="{customer}",quantile="{quantile / 100:g}"'
                lines.append(
                    f"rosemaryferry_batch_seconds{{{labels}}} {value:.6f}"
                )
        for name, value in sorted(gauges.items()):
            lines.append(f"{name} {value:g}")
        return "\n".join(lines) + "\n"
