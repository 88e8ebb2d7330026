"""Memory and CPU time of a process, read from `/proc`."""

import os
import pathlib

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")

# Index of `utime` in /proc/PID/stat, after the command name in parentheses;
# `stime` follows it.
UTIME_FIELD = 11


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process, in bytes."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def processor_seconds(pid: int) -> float:
    """Returns the user and system CPU time of a process, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])
    return ticks / TICKS_PER_S
