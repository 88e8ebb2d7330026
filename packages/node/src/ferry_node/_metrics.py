"""Metrics of a node: counters, and latencies by `hdrhistogram`."""

import collections

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
MAX_CUSTOMERS = 2_000


class Metrics:
    """Counts and latencies since the start of the process."""

    def __init__(self) -> None:
        self._outcomes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latency: dict[str, histogram.HdrHistogram] = {}

    def record(self, customer: str, seconds: float, outcome: str) -> None:
        """Notes one batch of a customer."""
        self._outcomes[(customer, outcome)] += 1
        found = self._latency.get(customer)
        if found is None:
            if len(self._latency) >= MAX_CUSTOMERS:
                return
            found = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self._latency[customer] = found
        found.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def count(self, outcome: str) -> int:
        """Returns how many batches had an outcome."""
        return sum(n for (_, o), n in self._outcomes.items() if o == outcome)

    def render(self, gauges: dict[str, float]) -> str:
        """Returns all metrics in Prometheus's text format.

        Args:
            gauges: Further values by metric name, labels included.
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
