"""Bounds the age of a peer's report, even if the report was delayed.

Streams keep the order of messages, so both ends count the pings. Each ping
returns the count of those that its sender had received. The receiver looks up
when it sent the last of these: the report was written after that moment.
"""

import collections

# Counts are sent modulo this, so that they take one byte.
COUNT_CYCLE = 127


class PingEchoes:
    """Counts the pings of one stream, in both directions."""

    def __init__(self) -> None:
        self._sent_count = 0
        self._sent_at: collections.deque[float] = collections.deque(
            maxlen=COUNT_CYCLE
        )
        self._received_count = 0
        self._returned_count = 0

    @property
    def echo(self) -> int:
        """What to return to the peer; 0 if it has sent no ping yet."""
        return _cyclic(self._received_count)

    def note_sent(self, moment: float) -> None:
        """Records that a ping is sent."""
        self._sent_count += 1
        self._sent_at.append(moment)

    def note_received(self) -> None:
        """Records that a ping has arrived."""
        self._received_count += 1

    def note_returned(self, echo: int) -> float | None:
        """Records an echo and returns when the ping that it names was sent.

        If the peer received a whole cycle of pings between two of its own, the
        result belongs to an earlier ping, never to a later one.

        Args:
            echo: What the peer returned; 0 from builds that return nothing.

        Returns:
            The moment; None if it is not known.
        """
        if not 0 < echo <= COUNT_CYCLE:
            return None
        advance = (echo - _cyclic(self._returned_count)) % COUNT_CYCLE
        if not self._returned_count:
            advance = echo
        self._returned_count += advance
        newer = self._sent_count - self._returned_count
        if not 0 <= newer < len(self._sent_at):
            return None
        return self._sent_at[-1 - newer]


def _cyclic(count: int) -> int:
    return (count - 1) % COUNT_CYCLE + 1 if count else 0
