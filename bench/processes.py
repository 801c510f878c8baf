"""Processor time and memory of processes, read from the system's own accounting."""

import os
from pathlib import Path

_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def resident_bytes(pid: int) -> int:
    """Return the memory that a process holds."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE


def anonymous_bytes(pid: int) -> int:
    """Return the memory that a process holds for itself alone, without files mapped into it."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("Anonymous:"))
