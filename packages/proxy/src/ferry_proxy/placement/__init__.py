"""Where requests run: which member, node and data centre."""
