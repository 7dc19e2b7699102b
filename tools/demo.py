"""Kills an upstream of a small deployment under load and checks each request.

Prints a line of JSON. The exit status is 0 only if no request was lost or ran
twice and no slot had two owners at a time.
"""

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import typing

from amaranthcrank.core import codes
from standins import caller
from standins import checks
from standins import fleet as fleet_module
from standins import processes

DOMAINS = (
    fleet_module.Domain('ktm-balaju', 'kathmandu', 2, 3),
    fleet_module.Domain('htd-north', 'hetauda', 2, 3),
)
SERVICE = 'soaklog'
CALLS = 600
RATE_PER_S = 60.0
KILL_AFTER_S = 3.0
SEED = 7
OWNERS_TIMEOUT_S = 15.0
# Until the ledger of a new slot has begun, requests that are not repeatable
# are answered with the outcome `unknown`, so the load starts after that.
LEDGER_START_S = 2.6


class Report(typing.NamedTuple):
    """The figures of the demo, in the order in which it prints them."""

    requests: int
    served: int
    refused_not_run: int
    outcome_unknown: int
    lost: int
    ran_twice: int
    two_owners: int
    unavailable_s: float


def main() -> int:
    """Run the demo.

    Returns:
      The exit status.
    """
    with fleet_module.running(DOMAINS, (SERVICE,)) as fleet:
        file_first_ticket(fleet)
        wait_for_owners(fleet)
        time.sleep(LEDGER_START_S)
        calls = caller.plan_calls(SEED, CALLS, (SERVICE,))
        killed_target = f'{SERVICE}-{DOMAINS[0].name}-1'
        kill_timer = threading.Timer(
            KILL_AFTER_S,
            _kill_process,
            (fleet.upstream_by_target[killed_target],),
        )
        kill_timer.start()
        hosts = [each.callers for each in fleet.daemon_by_host.values()]
        results = caller.send_calls(
            hosts, calls, threads=32, rate_per_s=RATE_PER_S
        )
        kill_timer.join()
        report = _compile_report(
            results, fleet_module.get_records(fleet), killed_target
        )
        print(json.dumps(report._asdict()))
        return 0 if _all_accounted_for(report) else 1


def _kill_process(process: processes.Process) -> None:
    process.popen.send_signal(signal.SIGKILL)


def file_first_ticket(fleet: fleet_module.Fleet) -> None:
    """File the ticket with the command-line tool, as an operator does."""
    operators = [each.operators for each in fleet.daemon_by_host.values()]
    env = {
        **os.environ,
        'AMARANTHCRANK_OPERATOR_URL': ' '.join(
            f'http://{each}' for each in operators
        ),
        'AMARANTHCRANK_OPERATOR_KEY': fleet_module.OPERATOR_KEY,
    }
    document = {
        'author': 'demo',
        'expected': 0,
        'touches': fleet_module.initial_touches(fleet),
    }
    with tempfile.NamedTemporaryFile('w', suffix='.json') as file:
        json.dump(document, file)
        file.flush()
        process = subprocess.run(
            [
                sys.executable,
                '-m',
                'amaranthcrank.cli.main',
                'ticket',
                'file',
                file.name,
            ],
            env=env,
            cwd=processes.ROOT,
            stdout=subprocess.PIPE,
            text=True,
            check=False,
        )
    print(process.stdout, file=sys.stderr)
    if process.returncode:
        raise RuntimeError(
            f'filing the ticket failed: exit status {process.returncode}'
        )


def wait_for_owners(fleet: fleet_module.Fleet) -> None:
    """Wait until every slot has an owner and the assignment is in effect."""
    first_host = next(iter(fleet.daemon_by_host))

    def all_slots_owned() -> bool:
        document = fleet_module.get_status(fleet, first_host)
        owned = 0
        for cell in document['cells'].values():
            if cell['effective'] != cell['version']:
                return False
            for target in cell['targets'].values():
                owned += target['slots']
        return owned == fleet.slots * len(fleet.services)

    fleet_module.wait_until(all_slots_owned, OWNERS_TIMEOUT_S)


def _compile_report(
    results: tuple[caller.CallResult, ...],
    records: dict[str, typing.Any],
    killed_target: str,
) -> Report:
    """Compare the responses of the hosts with what the upstreams recorded."""
    ran_ids = {each['request_id'] for each in records['ran']}
    counts = {codes.SERVED: 0, codes.NOT_RUN: 0, codes.UNKNOWN: 0}
    lost = 0
    for result in results:
        if result.outcome not in counts:
            lost += 1
            continue
        counts[result.outcome] += 1
        ran = result.request_id in ran_ids
        if result.outcome == codes.SERVED:
            lost += not ran or result.response_matches is False
        if result.outcome == codes.NOT_RUN and not result.call.repeatable:
            lost += ran
    return Report(
        len(results),
        counts[codes.SERVED],
        counts[codes.NOT_RUN],
        counts[codes.UNKNOWN],
        lost,
        len(checks.repeated_runs(records['ran'])),
        len(checks.overlapping_holds(records['holds'])),
        _unavailable_s(records, killed_target),
    )


def _unavailable_s(
    records: dict[str, typing.Any], killed_target: str
) -> float:
    """Return the longest time for which a lost slot had no owner.

    A recorded hold can extend past the kill, up to the expiry of its grant,
    so the time counts from the last run of the killed target.
    """
    last_seen_ms = 0.0
    for run in records['ran']:
        if run['target'] == killed_target:
            last_seen_ms = max(last_seen_ms, run['at_ms'])
    lost_slots = set()
    for hold in records['holds']:
        if (
            hold['target'] == killed_target
            and hold['until_ms'] >= last_seen_ms
        ):
            lost_slots.add((hold['service'], hold['slot']))
    longest_ms = 0.0
    for hold in records['holds']:
        slot = (hold['service'], hold['slot'])
        if hold['target'] == killed_target or slot not in lost_slots:
            continue
        longest_ms = max(longest_ms, hold['from_ms'] - last_seen_ms)
    return round(longest_ms / 1000, 3)


def _all_accounted_for(report: Report) -> bool:
    answered = report.served + report.refused_not_run + report.outcome_unknown
    faults = report.lost + report.ran_twice + report.two_owners
    return faults == 0 and answered == report.requests


if __name__ == '__main__':
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(main())
