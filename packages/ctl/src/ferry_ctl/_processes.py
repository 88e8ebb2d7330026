"""What the kernel tells of a process: memory and processor time."""

import os
import pathlib

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
UTIME_FIELD = 11


def resident_bytes(pid: int) -> int:
    """Returns the memory of a process that is in use, in bytes."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def processor_seconds(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])
    return ticks / TICKS_PER_S
