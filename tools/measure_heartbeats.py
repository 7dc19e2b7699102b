"""Measure the processor time of heartbeat handling, as JSON lines."""

import json
import time

from amaranthcrank.core import model
from amaranthcrank.grant import quorum
from amaranthcrank.record import cell_record

ROUNDS = 2000
SLOTS = 512


def cell_of(count: int) -> model.CellRecord:
    """Make a record with this many hosts."""
    hosts = tuple(f'host-{number}' for number in range(count))
    first = cell_record.first_record('cell', hosts, None, 1)
    assignments = {}
    for number in range(SLOTS):
        slot_id = model.SlotId('soaklog', number)
        assignments[slot_id] = model.Assignment(f't{number % 9}', 2, '')
    return cell_record.with_assignments(first, assignments, 0)


def measure(count: int) -> dict[str, float | int]:
    """Run heartbeats among the hosts of a cell in turn."""
    record = cell_of(count)
    states = {}
    for host in record.hosts:
        state = quorum.start('cell', host, f'{host}.1')
        states[host] = quorum.install_record(state, record, 0.0, True)
    frames = 0
    sending = 0.0
    receiving = 0.0
    now = 0.0
    for _ in range(ROUNDS // count):
        now += model.HEARTBEAT_INTERVAL_S
        for host in record.hosts:
            for peer in quorum.peers(states[host]):
                begin = time.perf_counter()
                states[host], heartbeat = quorum.heartbeat_for(
                    states[host], peer, now, 1
                )
                middle = time.perf_counter()
                states[peer] = quorum.receive(states[peer], heartbeat, now)
                quorum.host_lease_until(states[peer], now)
                end = time.perf_counter()
                sending += middle - begin
                receiving += end - middle
                frames += 1
    return {
        'hosts': count,
        'frames': frames,
        'send_us': round(sending / frames * 1e6, 2),
        'receive_us': round(receiving / frames * 1e6, 2),
    }


def main() -> None:
    """Print one line for each size of a cell."""
    for count in (2, 5, 12):
        print(json.dumps(measure(count)))


if __name__ == '__main__':
    main()
