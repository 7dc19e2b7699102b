"""Faults of targets, links and hosts that stand still, and when each begins.

A stopped target, or a link that holds bytes back, has acknowledged calls that
take effect whenever it goes on, also after their senders gave them up. A host
may be suspended between any two of its steps.
"""

import asyncio
import random
import signal
import time
import typing

from soak import grant_checks
from soak import link
from soak import ownership_checks
from soak import ownership_site
from soak import routers
from soak import store_faults

MEAN_GAP_S = 2.0
# From and to, in seconds.
STOP_S = (2.0, 14.0)
HOLD_S = (1.0, 12.0)
DELAYS_S = (3.0, 10.0)
REPEATS_S = (3.0, 8.0)
MIN_DELAY_S = 0.3
MAX_DELAYS_S = (1.0, 3.0, 8.0)
DELAYED_SHARES = (0.3, 0.7)
REPEATED_SHARE = 0.3
# How long after the beginning of a fault another one begins that is to overlap
# with it.
OVERLAP_AFTER_S = (0.5, 6.0)
# How long after the loss of the store a target restarts, from and to.
RESTART_AFTER_S = (0.0, 2.0)
# How long a share of the hosts is short of processor time, and how long they
# run and stand still in turns. Less than the lease, so that it is held on.
STARVED_S = (8.0, 20.0)
STARVED_SHARES = (0.3, 0.6, 1.0)
STARVED_RUN_S = (0.05, 1.0)
STARVED_STOP_S = (0.1, 2.0)
# How many hosts stop at once around a change of the controller, from and to,
# how long before and after it, and for how long.
STOPPED_HOSTS = (2, 5)
STOP_AROUND_CHANGE_S = (0.0, 4.0)
HOST_STOP_S = (0.5, 7.0)
# By when a target has taken what waited for it, once it goes on.
CATCH_UP_S = 0.3

HELD_DIRECTIONS = (
    (link.Direction.REQUESTS,),
    (link.Direction.RESPONSES,),
    (link.Direction.REQUESTS, link.Direction.RESPONSES),
)

_Item = typing.TypeVar('_Item')
Fault = typing.Callable[[ownership_site.Site], typing.Awaitable[None]]


async def stop_target(site: ownership_site.Site) -> None:
    """Stop a target with SIGSTOP, and let it go on."""
    target = site.random_owner()
    if target is None:
        return
    target_id = target.config.target_id
    since = time.monotonic()
    site.stopped.add(target_id)
    target.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(site.rng.uniform(*STOP_S))
    # It may have been ended meanwhile; this sends nothing then.
    target.process.send_signal(signal.SIGCONT)
    site.stopped.discard(target_id)
    site.held_up.append(
        grant_checks.HeldUp(target_id, since, time.monotonic() + CATCH_UP_S)
    )


def _random_link(site: ownership_site.Site) -> link.Link | None:
    target = site.random_owner()
    if target is None:
        return None
    return site.link_by_id[target.config.target_id]


def _record_held_up(
    site: ownership_site.Site,
    target_link: link.Link,
    since: float,
    until: float,
) -> None:
    """Record that calls by way of a link could be held up."""
    for target_id in site.ids_behind(target_link):
        site.held_up.append(grant_checks.HeldUp(target_id, since, until))


def _record_healed(
    site: ownership_site.Site, target_link: link.Link, now: float
) -> None:
    """Record that a link goes on."""
    for target_id in site.ids_behind(target_link):
        site.healed.append(ownership_checks.Healed(target_id, now))


async def hold_link(site: ownership_site.Site) -> None:
    """Let a link hold back what is sent, one way or both."""
    held_link = _random_link(site)
    if held_link is None:
        return
    directions = site.rng.choice(HELD_DIRECTIONS)
    since = time.monotonic()
    held_link.hold(directions)
    await asyncio.sleep(site.rng.uniform(*HOLD_S))
    now = time.monotonic()
    _record_healed(site, held_link, now)
    if link.Direction.REQUESTS in directions:
        _record_held_up(site, held_link, since, now + CATCH_UP_S)
    held_link.resume(directions)


async def delay_link(site: ownership_site.Site) -> None:
    """Let a link delay some of what is sent, each chunk for another time."""
    slow_link = _random_link(site)
    if slow_link is None:
        return
    max_delay_s = site.rng.choice(MAX_DELAYS_S)
    since = time.monotonic()
    slow_link.delays = link.Delays(
        site.rng.choice(DELAYED_SHARES), MIN_DELAY_S, max_delay_s
    )
    await asyncio.sleep(site.rng.uniform(*DELAYS_S))
    slow_link.delays = link.NO_DELAYS
    now = time.monotonic()
    _record_healed(site, slow_link, now)
    _record_held_up(site, slow_link, since, now + max_delay_s + CATCH_UP_S)


async def repeat_responses(site: ownership_site.Site) -> None:
    """Let targets answer some calls twice."""
    await site.set_call_faults(repeated_share=REPEATED_SHARE)
    await asyncio.sleep(site.rng.uniform(*REPEATS_S))
    await site.set_call_faults(repeated_share=0.0)


async def stop_target_amid_late_calls(site: ownership_site.Site) -> None:
    """Stop a target while calls are left unanswered."""
    await asyncio.gather(
        site.delay_calls(), _later(site, (0.0, 4.0), stop_target)
    )


async def hold_link_amid_late_calls(site: ownership_site.Site) -> None:
    """Let a link hold bytes back while calls are left unanswered."""
    await asyncio.gather(
        site.delay_calls(), _later(site, (0.0, 4.0), hold_link)
    )


async def change_controller_amid_stop(site: ownership_site.Site) -> None:
    """Let the controller end or pause while a target is stopped."""
    await asyncio.gather(
        stop_target(site), _later(site, OVERLAP_AFTER_S, _change_controller)
    )


async def change_controller_amid_hold(site: ownership_site.Site) -> None:
    """Let the controller end or pause while a link holds bytes back."""
    await asyncio.gather(
        hold_link(site), _later(site, OVERLAP_AFTER_S, _change_controller)
    )


async def restart_target_amid_store_loss(site: ownership_site.Site) -> None:
    """Let a target restart while its entry cannot be read."""
    await asyncio.gather(
        site.lose_store(), _later(site, RESTART_AFTER_S, _restart_target)
    )


async def _restart_target(site: ownership_site.Site) -> None:
    await site.restart_target()


async def _change_controller(site: ownership_site.Site) -> None:
    change = site.rng.choice(
        (site.stop_controller, site.kill_controller, site.suspend_controller)
    )
    await change()


async def starve_routers(site: ownership_site.Site) -> None:
    """Suspend many hosts in short bursts, as with a share of a processor.

    The platform does not excuse what hosts send that are only slow, so the
    bursts are not recorded as suspensions.
    """
    share = site.rng.choice(STARVED_SHARES)
    count = max(1, round(share * len(site.routers)))
    chosen = site.rng.sample(site.routers, min(count, len(site.routers)))
    duration_s = site.rng.uniform(*STARVED_S)
    await asyncio.gather(
        *(_starve(site, router, duration_s) for router in chosen)
    )


async def _starve(
    site: ownership_site.Site, router: routers.Router, duration_s: float
) -> None:
    end_at = time.monotonic() + duration_s
    while time.monotonic() < end_at:
        if not router.is_suspended:
            router.send_signal(signal.SIGSTOP)
            await asyncio.sleep(site.rng.uniform(*STARVED_STOP_S))
            # Another fault may have suspended it for longer.
            if not router.is_suspended:
                router.send_signal(signal.SIGCONT)
        await asyncio.sleep(site.rng.uniform(*STARVED_RUN_S))


async def starve_routers_amid_change(site: ownership_site.Site) -> None:
    """Let the controller end or pause while hosts are slow."""
    await asyncio.gather(
        starve_routers(site), _later(site, OVERLAP_AFTER_S, _change_controller)
    )


async def stop_routers_amid_change(site: ownership_site.Site) -> None:
    """Stop several hosts at once around a change of the controller."""
    count = min(site.rng.randint(*STOPPED_HOSTS), len(site.routers) - 1)
    chosen = site.rng.sample(site.routers, count)
    await asyncio.gather(
        _later(site, STOP_AROUND_CHANGE_S, _change_controller),
        *(_stop_router(site, router) for router in chosen),
    )


async def _stop_router(
    site: ownership_site.Site, router: routers.Router
) -> None:
    await asyncio.sleep(site.rng.uniform(*STOP_AROUND_CHANGE_S))
    if router.is_suspended:
        return
    router.suspend()
    await asyncio.sleep(site.rng.uniform(*HOST_STOP_S))
    site.resumed.append(
        ownership_checks.Resumed(router.name, time.monotonic())
    )
    router.resume()


async def suspend_controller_at_renewal(site: ownership_site.Site) -> None:
    """Suspend the controller as the answer to a renewal is under way."""
    await site.suspend_controller_at_renewal()


async def start_life_beside_controller(site: ownership_site.Site) -> None:
    """Start the controller's host anew beside its slow shutdown."""
    await site.start_life_beside_controller()


async def add_router(site: ownership_site.Site) -> None:
    """Add a host for a while."""
    await site.add_router()


async def replace_router(site: ownership_site.Site) -> None:
    """Replace a host by one with the same id at another address."""
    await site.replace_router()


async def _later(
    site: ownership_site.Site, delay_s: tuple[float, float], fault: Fault
) -> None:
    await asyncio.sleep(site.rng.uniform(*delay_s))
    await fault(site)


STALLS: tuple[Fault, ...] = (
    stop_target,
    hold_link,
    delay_link,
    repeat_responses,
    stop_target_amid_late_calls,
    hold_link_amid_late_calls,
    change_controller_amid_stop,
    change_controller_amid_hold,
    restart_target_amid_store_loss,
)

HOST_FAULTS: tuple[Fault, ...] = (
    starve_routers,
    starve_routers_amid_change,
    stop_routers_amid_change,
    suspend_controller_at_renewal,
    start_life_beside_controller,
    add_router,
    replace_router,
)


def in_rounds(
    items: typing.Sequence[_Item], rng: random.Random
) -> typing.Iterator[_Item]:
    """Yield items without end, each once in a round of random order."""
    while True:
        yield from rng.sample(items, len(items))


async def inject(
    site: ownership_site.Site,
    seconds: float,
    mean_gap_s: float,
    has_restores: bool = True,
) -> None:
    """Inject faults, often at the same time, and wait for their ends.

    Args:
      site: The site.
      seconds: How long new faults begin, and at least until each has begun
        once: the gaps are random.
      mean_gap_s: The mean time from one to the next.
      has_restores: Whether the store comes back from older copies.
    """
    faults: list[typing.Callable[[], typing.Awaitable[None]]] = [
        site.stop_controller,
        site.kill_controller,
        site.suspend_controller,
        site.delay_calls,
        site.change_controller_amid_late_calls,
        site.change_controller_amid_late_calls,
        site.shift_busy_keys,
        site.drain_target,
        site.remove_entry,
        site.crash_target,
        site.restart_target,
        site.lose_store_answers,
        site.lose_store,
    ]
    if has_restores:
        faults += [site.restore_store, site.restore_store_amid_change]
    named = [(fault.__name__, fault) for fault in faults]
    for bound in (*STALLS, *HOST_FAULTS, *store_faults.FAULTS):
        named.append((bound.__name__, _bind(bound, site)))
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    running = []
    for number, (name, fault) in enumerate(in_rounds(named, site.rng)):
        if loop.time() >= end_at and number >= len(named):
            break
        site.faults[name] += 1
        running.append(asyncio.ensure_future(fault()))
        await asyncio.sleep(site.rng.expovariate(1 / mean_gap_s))
    await asyncio.gather(*running)


def _bind(
    fault: Fault, site: ownership_site.Site
) -> typing.Callable[[], typing.Awaitable[None]]:
    return lambda: fault(site)
