"""Faults of targets and links that stand still, and when which fault begins.

A stopped target, or a link that holds bytes back, has acknowledged calls that
take effect whenever it goes on, also after their senders gave them up.
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


def in_rounds(
    items: typing.Sequence[_Item], rng: random.Random
) -> typing.Iterator[_Item]:
    """Yield items without end, each once in a round of random order."""
    while True:
        yield from rng.sample(items, len(items))


async def inject(
    site: ownership_site.Site, seconds: float, mean_gap_s: float
) -> None:
    """Inject faults, often at the same time, and wait for their ends.

    Args:
      site: The site.
      seconds: How long new faults begin, and at least until each has begun
        once: the gaps are random.
      mean_gap_s: The mean time from one to the next.
    """
    faults: tuple[typing.Callable[[], typing.Awaitable[None]], ...] = (
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
        site.restore_store,
        site.restore_store_amid_change,
    )
    named = [(fault.__name__, fault) for fault in faults]
    for bound in (*STALLS, *store_faults.FAULTS):
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
