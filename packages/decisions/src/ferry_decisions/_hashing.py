"""Rendezvous hashing (Thaler and Ravishankar, 1998).

Each node has a score for a key, and the node with the highest score is chosen.
A node that joins or leaves moves only its own keys, and all nodes compute the
same assignment without communication.
"""

import functools
import hashlib

DIGEST_BYTES = 8


@functools.lru_cache(maxsize=65_536)
def rendezvous_score(key: str, node: str) -> int:
    """Returns the rendezvous score of a node for a key."""
    digest = hashlib.blake2b(f"{key}|{node}".encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def stagger_fraction(key: str, node: str) -> float:
    """Returns a fraction from 0 to 1 that is fixed for a node and a key.

    Nodes multiply a delay by it so that they do not all act at the same time.
    """
    return rendezvous_score(key, node) / (1 << 8 * DIGEST_BYTES)
