"""Builds the parts that the request path and the control parts share."""

import asyncio
import typing

from amaranthcrank.platform import store
from amaranthcrank.router import connection_pool
from amaranthcrank.router import event_log
from amaranthcrank.router import metrics
from amaranthcrank.router import model
from amaranthcrank.router import options
from amaranthcrank.router import peers


class CommonParts(typing.NamedTuple):
    """What both the request path and the control parts use.

    Attributes:
      settings: The settings at the start of the process.
      options: The options of the process.
      clock: Returns the event loop time.
      log: Writes the events of the host.
      metrics: The counters and gauges.
      pool: The connections to targets, other hosts and the store.
      store: The client of the store.
      peers: Exchanges datagrams with the other hosts.
    """

    settings: model.HostSettings
    options: options.Options
    clock: typing.Callable[[], float]
    log: event_log.EventLog
    metrics: metrics.Registry
    pool: connection_pool.Pool
    store: store.Client
    peers: peers.Messenger


def build(
    settings: model.HostSettings,
    process_options: options.Options,
    log_descriptor: int,
) -> CommonParts:
    """Create the shared parts in a running event loop."""
    clock = asyncio.get_running_loop().time
    pool = connection_pool.Pool(clock)
    parts = CommonParts(
        settings,
        process_options,
        clock,
        event_log.EventLog(settings.host_id, log_descriptor),
        metrics.Registry(),
        pool,
        store.Client(settings.store, pool),
        peers.Messenger(settings.host_id, settings.failure_domain),
    )
    parts.store.on_restored.append(_restore_reporter(parts))
    return parts


def _restore_reporter(
    parts: CommonParts,
) -> typing.Callable[[int, int], None]:
    """Return a function that logs and counts a restore of the store."""

    def report(former_era: int, era: int) -> None:
        parts.metrics.add('store_restores')
        parts.log.event('store_restored', former_era=former_era, era=era)

    return report
