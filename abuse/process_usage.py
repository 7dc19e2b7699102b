"""What a process uses, as the kernel reports it."""

import pathlib

_KIB = 1024
_PEAK_FIELD = 'VmHWM:'


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident memory of a process so far.

    Raises:
      OSError: There is no such process.
    """
    text = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    for line in text.splitlines():
        if line.startswith(_PEAK_FIELD):
            return int(line.split()[1]) * _KIB
    raise ProcessLookupError(f'process {pid} has no memory')


def open_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open.

    Raises:
      OSError: There is no such process.
    """
    return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))
