"""Reads metrics pages of nodes, in the Prometheus text format."""

from collections.abc import Iterator
import math
import pathlib
import re

import attrs
import click
import urllib3

PREFIX = "rosemaryferry_"
TIMEOUT_S = 10.0

# Pages of 10,000 routes are below this size.
MAX_PAGE_BYTES = 32 << 20

# A metric's name, its labels if it has any, its value, and a time that some
# collectors add.
_SAMPLE = re.compile(r"([a-zA-Z_:][\w:]*)(?:\{(.*)\})?\s+(\S+)(?:\s+-?\d+)?\s*")
_LABEL = re.compile(r'([a-zA-Z_]\w*)="((?:[^"\\]|\\.)*)"(?:,|$)')


class MetricsPageError(click.ClickException):
    """A page could not be read or is no metrics page of a node."""

    exit_code = 2


@attrs.frozen(slots=True)
class Sample:
    """One value of a metric.

    Attributes:
        name: The metric's name without the common prefix.
        labels: Its labels by name.
        value: The value, which is finite.
    """

    name: str
    labels: dict[str, str]
    value: float


@attrs.frozen(slots=True)
class Page:
    """The metrics of one node.

    Attributes:
        source: The URL or the file that it was read from.
        samples: The metrics of the proxy; others are left out.
    """

    source: str
    samples: tuple[Sample, ...]


def read(source: str) -> Page:
    """Reads a page from a URL or a file.

    Raises:
        MetricsPageError: It cannot be read, or is no metrics page of a node.
    """
    is_url = source.startswith(("http://", "https://"))
    data = _fetch(source) if is_url else _load(source)
    if len(data) > MAX_PAGE_BYTES:
        raise MetricsPageError(f"{source}: longer than {MAX_PAGE_BYTES} bytes")
    return parse(source, data)


def parse(source: str, data: bytes) -> Page:
    """Parses a page.

    Args:
        source: Where it comes from.
        data: Its bytes.

    Raises:
        MetricsPageError: It is no metrics page of a node.
    """
    try:
        text = data.decode()
    except UnicodeDecodeError as exc:
        raise MetricsPageError(f"{source}: {exc}") from exc
    samples = tuple(_samples(source, text))
    if not samples:
        raise MetricsPageError(f"{source}: no metric of a node")
    return Page(source, samples)


def _samples(source: str, text: str) -> Iterator[Sample]:
    for number, line in enumerate(text.splitlines(), 1):
        if not line.startswith(PREFIX):
            continue
        sample = _sample(line)
        if sample is None:
            raise MetricsPageError(f"{source}:{number}: not a metric")
        if math.isfinite(sample.value):
            yield sample


def _sample(line: str) -> Sample | None:
    """Returns the value of a line, or None if it has another format."""
    found = _SAMPLE.fullmatch(line)
    if found is None:
        return None
    name, label_text, value_text = found.groups()
    labels = dict(_LABEL.findall(label_text or ""))
    if _LABEL.sub("", label_text or ""):
        return None
    try:
        value = float(value_text)
    except ValueError:
        return None
    return Sample(name.removeprefix(PREFIX), labels, value)


def _fetch(url: str) -> bytes:
    try:
        reply = urllib3.request("GET", url, timeout=TIMEOUT_S, retries=False)
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        raise MetricsPageError(f"{url}: {exc}") from exc
    if reply.status != 200:
        raise MetricsPageError(f"{url}: status {reply.status}")
    return reply.data


def _load(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise MetricsPageError(f"{path}: {exc.strerror}") from exc
