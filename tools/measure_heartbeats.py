"""Measures the time to make and receive heartbeats; prints JSON lines."""

import json
import time

from amaranthcrank.core import model
from amaranthcrank.grant import quorum
from amaranthcrank.record import cell_record

ROUNDS = 2000
SLOTS = 512


def make_record(count: int) -> model.CellRecord:
    """Make the record of a cell with this many hosts."""
    hosts = tuple(f'host-{number}' for number in range(count))
    initial_record = cell_record.first_record('cell', hosts, None, 1)
    assignments = {}
    for number in range(SLOTS):
        slot_id = model.SlotId('soaklog', number)
        assignments[slot_id] = model.Assignment(f't{number % 9}', 2, '')
    return cell_record.with_assignments(initial_record, assignments, 0)


def measure(count: int) -> dict[str, float | int]:
    """Measure the exchange of heartbeats among the hosts of a cell."""
    record = make_record(count)
    state_by_host = {}
    for host in record.hosts:
        state = quorum.initial_state('cell', host, f'{host}.1')
        state_by_host[host] = quorum.install_record(state, record, 0.0, True)
    frames = 0
    send_s = 0.0
    receive_s = 0.0
    now = 0.0
    for _ in range(ROUNDS // count):
        now += model.HEARTBEAT_INTERVAL_S
        for host in record.hosts:
            for peer in quorum.peers(state_by_host[host]):
                before_send = time.perf_counter()
                state_by_host[host], heartbeat = quorum.heartbeat_for(
                    state_by_host[host], peer, now, 1
                )
                after_send = time.perf_counter()
                state_by_host[peer] = quorum.receive_heartbeat(
                    state_by_host[peer], heartbeat, now
                )
                quorum.host_lease_until(state_by_host[peer], now)
                after_receive = time.perf_counter()
                send_s += after_send - before_send
                receive_s += after_receive - after_send
                frames += 1
    return {
        'hosts': count,
        'frames': frames,
        'send_us': round(send_s / frames * 1e6, 2),
        'receive_us': round(receive_s / frames * 1e6, 2),
    }


def main() -> None:
    """Print one line of JSON for each number of hosts."""
    for count in (2, 5, 12):
        print(json.dumps(measure(count)))


if __name__ == '__main__':
    main()
