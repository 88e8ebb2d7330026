"""Command-line tool for operators of rosemaryferry."""
