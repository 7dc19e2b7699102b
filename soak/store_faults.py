"""Faults of the store: late writes, stale reads, rejected machines, slowness.

Each lasts for some seconds, and several can last at the same time.
"""

import asyncio
import typing

from amaranthcrank.platform import names
from amaranthcrank.router import model
from soak import ownership_site
from standins import platform_store
from standins import platform_target

# From and to, in seconds.
LATE_WRITES_S = (1.0, 6.0)
REJECTION_S = (1.0, 8.0)
SLOWNESS_S = (2.0, 8.0)
STALE_READS_S = (1.0, 8.0)
OUTAGE_S = (2.0, 6.0)
# How often what stale reads show goes on.
STALE_STEP_S = 0.25

# What the store does to calls of machines that it rejects.
REJECTIONS = (
    platform_store.BUSY,
    platform_store.THROTTLED,
    platform_store.RESETTING,
    platform_store.SILENT,
)


async def delay_writes(site: ownership_site.Site) -> None:
    """Carry out writes seconds later without a response.

    Those of all machines or of some.
    """
    machines = site.machines
    if site.rng.random() < 0.5:
        machines = _some_machines(site)
    await _disrupt(
        site,
        machines,
        platform_store.LATE_WRITES,
        site.rng.uniform(*LATE_WRITES_S),
    )


async def reject_machines(site: ownership_site.Site) -> None:
    """Reject some machines while the others are served."""
    await _disrupt(
        site,
        _some_machines(site),
        site.rng.choice(REJECTIONS),
        site.rng.uniform(*REJECTION_S),
    )


async def reject_controller(site: ownership_site.Site) -> None:
    """Reject the controller alone, for longer than its lease at times."""
    router = site.controller()
    if router is None:
        return
    await _disrupt(
        site,
        [router.name],
        site.rng.choice((*REJECTIONS, platform_store.LATE_WRITES)),
        site.rng.uniform(*REJECTION_S),
    )


def _some_machines(site: ownership_site.Site) -> list[str]:
    count = site.rng.randrange(1, len(site.machines))
    return site.rng.sample(site.machines, count)


async def _disrupt(
    site: ownership_site.Site,
    machines: typing.Iterable[str],
    fault: str,
    seconds: float,
) -> None:
    """Inject a fault into the calls of machines for a while.

    Machines that another fault has got meanwhile are left to that one.
    """
    machines = tuple(machines)
    for machine in machines:
        site.store.fault_by_machine[machine] = fault
        if fault == platform_store.RESETTING:
            site.store.reset_connections(machine)
    await asyncio.sleep(seconds)
    for machine in machines:
        if site.store.fault_by_machine.get(machine) == fault:
            del site.store.fault_by_machine[machine]


async def serve_stale_reads(site: ownership_site.Site) -> None:
    """Answer reads that may be stale from a replica that lags behind."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + site.rng.uniform(*STALE_READS_S)
    lag = site.rng.randrange(1, ownership_site.COPIES)
    while loop.time() < end_at:
        if site.copies:
            site.store.stale_copy = site.copies[max(-lag, -len(site.copies))]
        await asyncio.sleep(STALE_STEP_S)
    site.store.stale_copy = None


async def slow_down(site: ownership_site.Site) -> None:
    """Let the store take long for the calls of all machines or of some."""
    machines = site.machines
    if site.rng.random() < 0.5:
        machines = _some_machines(site)
    await _disrupt(
        site, machines, platform_store.SLOW, site.rng.uniform(*SLOWNESS_S)
    )


async def discard_history(site: ownership_site.Site) -> None:
    """Discard past changes, so that watches begin anew."""
    site.store.discard_history()


async def write_foreign_entries(site: ownership_site.Site) -> None:
    """Let another writer put malformed entries among those of targets.

    One replaces the entry of an owner until that writes again; the others
    expire, as nobody writes them again.
    """
    entries = foreign_entries(str(site.rng.randrange(2**32)))
    target = site.random_owner()
    if target is not None:
        _, fields = site.rng.choice(entries)
        entries.append((target.config.target_id, fields))
    for name, fields in entries:
        site.store.put(names.TARGETS_KIND, name, fields)


def foreign_entries(
    suffix: str,
) -> list[tuple[str, dict[str, typing.Any]]]:
    """Return names and fields of entries that name no target.

    Args:
      suffix: Makes the names differ from those of earlier ones.
    """
    entry = platform_target.entry(
        'book', model.Address('127.0.0.1', 1), 'a', 1, model.READY
    )
    spec, status = entry['spec'], entry['status']
    without_address = {
        name: value for name, value in spec.items() if name != 'address'
    }
    variants = {
        'address': {'spec': without_address, 'status': status},
        'spec': {'spec': 'book', 'status': status},
        'born': {'spec': {**spec, 'born': '1'}, 'status': status},
        'state': {'spec': spec, 'status': {**status, 'state': 'idle'}},
        'seq': {'spec': spec, 'status': {**status, 'seq': None}},
    }
    return [
        (f'foreign-{name}-{suffix}', fields)
        for name, fields in variants.items()
    ]


async def lose_store_and_entries(site: ownership_site.Site) -> None:
    """Let the store be away while the entries of all targets expire."""
    site.entries_expire_amid_outages = True
    site.store.fault = platform_store.BUSY
    await asyncio.sleep(site.rng.uniform(*OUTAGE_S))
    site.store.fault = ''
    site.entries_expire_amid_outages = False


FAULTS: tuple[
    typing.Callable[[ownership_site.Site], typing.Awaitable[None]], ...
] = (
    delay_writes,
    reject_machines,
    reject_controller,
    serve_stale_reads,
    slow_down,
    discard_history,
    write_foreign_entries,
    lose_store_and_entries,
)
