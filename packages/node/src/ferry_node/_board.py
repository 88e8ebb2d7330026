"""The entries of a node's blackboard."""

import ferry_decisions as decisions

NODES: decisions.BoardKey[tuple[decisions.Node, ...]] = decisions.BoardKey(
    "nodes", ()
)
"""The nodes that are live, this one included."""

LEAVING: decisions.BoardKey[frozenset[str]] = decisions.BoardKey(
    "leaving", frozenset()
)
"""Endpoints, as `host:port`, and nodes, by name, that are leaving."""

DATABASES: decisions.BoardKey[dict[str, decisions.Database]] = (
    decisions.BoardKey("databases", {})
)
"""The databases, by name."""

RECORDS: decisions.BoardKey[dict[str, decisions.Record]] = decisions.BoardKey(
    "records", {}
)
"""The record of each database, by name."""

SERVED: decisions.BoardKey[frozenset[tuple[str, str]]] = decisions.BoardKey(
    "served", frozenset()
)
"""Pairs of a database and a member that this node serves."""

STORE_READER: decisions.BoardKey[bool] = decisions.BoardKey(
    "store_reader", False
)
"""Whether this node is one of the few that ask the store."""
