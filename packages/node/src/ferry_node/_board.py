"""Keys of the blackboard that a node's controllers read and write."""

import ferry_decisions as decisions

NODES: decisions.BoardKey[tuple[decisions.Node, ...]] = decisions.BoardKey(
    "nodes", ()
)
"""The nodes in use, this one included: alive and not leaving."""

LEAVING: decisions.BoardKey[frozenset[str]] = decisions.BoardKey(
    "leaving", frozenset()
)
"""The endpoints (as `host:port`) and nodes (by name) that are leaving."""

DATABASES: decisions.BoardKey[dict[str, decisions.Database]] = (
    decisions.BoardKey("databases", {})
)
"""The topology of each database, by database name."""

RECORDS: decisions.BoardKey[dict[str, decisions.Record]] = decisions.BoardKey(
    "records", {}
)
"""The newest known record of each database, by database name."""

SERVED: decisions.BoardKey[frozenset[tuple[str, str]]] = decisions.BoardKey(
    "served", frozenset()
)
"""The (database, member) pairs that this node serves."""

STORE_READER: decisions.BoardKey[bool] = decisions.BoardKey(
    "store_reader", False
)
"""Whether this node is one of its data centre's store readers."""
