"""Runs a small fleet, loses an owner under load and accounts for all work.

Prints one JSON line and ends with status 0 only where nothing was lost, ran
twice or had two owners.
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
SETTLE_TIMEOUT_S = 15.0
# Work that may not repeat is answered `unknown` until the ledgers of new
# slots have begun; the demo starts after that.
LEDGER_START_S = 2.6


class Report(typing.NamedTuple):
    """The figures of the demo, in the order of the line it prints."""

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
        await_owners(fleet)
        time.sleep(LEDGER_START_S)
        calls = caller.plan_calls(SEED, CALLS, (SERVICE,))
        victim = f'{SERVICE}-{DOMAINS[0].name}-1'
        killer = threading.Timer(
            KILL_AFTER_S, _kill, (fleet.upstream_by_target[victim],)
        )
        killer.start()
        hosts = [each.callers for each in fleet.daemon_by_host.values()]
        results = caller.send_calls(
            hosts, calls, threads=32, rate_per_s=RATE_PER_S
        )
        killer.join()
        report = _account(results, fleet_module.get_records(fleet), victim)
        print(json.dumps(report._asdict()))
        return 0 if _is_clean(report) else 1


def _kill(process: processes.Process) -> None:
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
        done = subprocess.run(
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
    print(done.stdout, file=sys.stderr)
    if done.returncode:
        raise RuntimeError(f'the ticket was refused: {done.returncode}')


def await_owners(fleet: fleet_module.Fleet) -> None:
    """Wait until every slot has an owner that may be granted."""
    first = next(iter(fleet.daemon_by_host))

    def settled() -> bool:
        document = fleet_module.get_status(fleet, first)
        owned = 0
        for cell in document['cells'].values():
            if cell['effective'] != cell['version']:
                return False
            for target in cell['targets'].values():
                owned += target['slots']
        return owned == fleet.slots * len(fleet.services)

    fleet_module.wait_until(settled, SETTLE_TIMEOUT_S)


def _account(
    results: tuple[caller.CallResult, ...],
    recorded: dict[str, typing.Any],
    victim: str,
) -> Report:
    """Compare what callers were told with what upstreams recorded."""
    ran_ids = {each['request_id'] for each in recorded['ran']}
    counts = {codes.SERVED: 0, codes.NOT_RUN: 0, codes.UNKNOWN: 0}
    lost = 0
    for result in results:
        if result.outcome not in counts:
            lost += 1
            continue
        counts[result.outcome] += 1
        ran = result.request_id in ran_ids
        if result.outcome == codes.SERVED:
            lost += not ran or result.answer_matches is False
        if result.outcome == codes.NOT_RUN and not result.call.repeatable:
            lost += ran
    return Report(
        len(results),
        counts[codes.SERVED],
        counts[codes.NOT_RUN],
        counts[codes.UNKNOWN],
        lost,
        len(checks.repeated_runs(recorded['ran'])),
        len(checks.overlapping_holds(recorded['holds'])),
        _unavailable_s(recorded, victim),
    )


def _unavailable_s(recorded: dict[str, typing.Any], victim: str) -> float:
    """Return the longest time for which a slot of the victim had no owner.

    The victim's hold ends when its process is killed, so the gap is counted
    from its last run or the last renewal, whichever was later.
    """
    last_ms = 0.0
    for run in recorded['ran']:
        if run['target'] == victim:
            last_ms = max(last_ms, run['at_ms'])
    lost_slots = set()
    for hold in recorded['holds']:
        if hold['target'] == victim and hold['until_ms'] >= last_ms:
            lost_slots.add((hold['service'], hold['slot']))
    longest_ms = 0.0
    for hold in recorded['holds']:
        slot = (hold['service'], hold['slot'])
        if hold['target'] == victim or slot not in lost_slots:
            continue
        longest_ms = max(longest_ms, hold['from_ms'] - last_ms)
    return round(longest_ms / 1000, 3)


def _is_clean(report: Report) -> bool:
    told = report.served + report.refused_not_run + report.outcome_unknown
    faults = report.lost + report.ran_twice + report.two_owners
    return faults == 0 and told == report.requests


if __name__ == '__main__':
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(main())
