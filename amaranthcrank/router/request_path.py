"""Builds the parts that handle the requests of callers."""

import random
import typing

from amaranthcrank.router import admission
from amaranthcrank.router import cold_quota
from amaranthcrank.router import common_parts
from amaranthcrank.router import crash_reports
from amaranthcrank.router import crash_withdrawals
from amaranthcrank.router import directory
from amaranthcrank.router import forwarder
from amaranthcrank.router import hedged_attempts
from amaranthcrank.router import http_server
from amaranthcrank.router import key_table
from amaranthcrank.router import retry_rules
from amaranthcrank.router import sender
from amaranthcrank.router import service_times
from amaranthcrank.router import target_choice
from amaranthcrank.router import target_notices


class RequestPath(typing.NamedTuple):
    """The parts that handle the requests of callers.

    Attributes:
      targets: The known targets.
      keys: The owners of the keys.
      times: The service times of the routes.
      crashes: The requests that crashed targets.
      budget: Limits the retries.
      admission: Assigns requests to targets, or keeps or refuses them.
      cold_quota: Limits what is sent to cold targets.
      notices: Handles what targets say about themselves.
      withdrawals: Withdraws reports of crashes that were wrong.
      sender: Sends single attempts.
      forwarder: Handles whole requests.
      server: Serves callers.
    """

    targets: directory.Directory
    keys: key_table.KeyTable
    times: service_times.ServiceTimes
    crashes: crash_reports.CrashReports
    budget: retry_rules.RetryBudget
    admission: admission.Admission
    cold_quota: cold_quota.ColdQuota
    notices: target_notices.TargetNotices
    withdrawals: crash_withdrawals.CrashWithdrawals
    sender: sender.Sender
    forwarder: forwarder.Forwarder
    server: http_server.Server


def build(common: common_parts.CommonParts) -> RequestPath:
    """Create the parts without opening sockets."""
    bounds = common.settings.bounds
    targets = directory.Directory(
        common.clock,
        bounds.drain_s,
        common.log.event,
        bounds.evacuation_s or 0.0,
    )
    keys = key_table.KeyTable()
    times = service_times.ServiceTimes()
    crashes = crash_reports.CrashReports(common.clock)
    budget = retry_rules.RetryBudget(
        bounds.retry_ratio, bounds.retry_floor, bounds.retry_window_s
    )
    quota = _new_cold_quota(common)
    admitting = _new_admission(common, targets, keys, times)
    admitting.selection.cold_quota = quota
    notices = target_notices.TargetNotices(targets, common.pool, common.peers)
    withdrawals = crash_withdrawals.CrashWithdrawals(
        crashes,
        targets.is_current,
        common.settings.heartbeat_s + bounds.drain_s,
    )
    sending = sender.Sender(common.pool, times, crashes, withdrawals, notices)
    hedging = None
    if common.options.hedge_ratio:
        hedging = hedged_attempts.HedgedAttempts(
            admitting,
            sending,
            budget,
            times,
            crashes,
            common.metrics,
            common.options.hedge_ratio,
        )
    forwarding = forwarder.Forwarder(
        admitting,
        sending,
        budget,
        times,
        crashes,
        common.log,
        common.metrics,
        hedging,
    )
    server = http_server.Server(forwarding.handle, forwarding.is_idempotent)
    return RequestPath(
        targets,
        keys,
        times,
        crashes,
        budget,
        admitting,
        quota,
        notices,
        withdrawals,
        sending,
        forwarding,
        server,
    )


def _new_admission(
    common: common_parts.CommonParts,
    targets: directory.Directory,
    keys: key_table.KeyTable,
    times: service_times.ServiceTimes,
) -> admission.Admission:
    settings = common.settings
    return admission.Admission(
        targets,
        keys,
        target_choice.Locality(
            settings.failure_domain,
            settings.region,
            settings.region_by_domain,
        ),
        times,
        common.clock,
        random.random,
    )


def _new_cold_quota(
    common: common_parts.CommonParts,
) -> cold_quota.ColdQuota:
    return cold_quota.ColdQuota(
        common.settings.host_id,
        common.settings.failure_domain,
        random.random,
        common.log.event,
        common.metrics.add,
    )
