"""Messages between hosts: heartbeats, key moves and load."""

import asyncio
import typing

from amaranthcrank.platform import store_position
from amaranthcrank.router import admission
from amaranthcrank.router import change_parts
from amaranthcrank.router import controller_lease
from amaranthcrank.router import directory
from amaranthcrank.router import key_controller
from amaranthcrank.router import key_table
from amaranthcrank.router import message_kinds
from amaranthcrank.router import model
from amaranthcrank.router import owner_usage
from amaranthcrank.router import peers
from amaranthcrank.router import shared_read_schedule

CHECK_INTERVAL_S = 0.03
LOAD_REPORT_S = 0.06
# Less often than load, because most of these reports cross failure domains and
# such traffic is billed by the byte.
USAGE_REPORT_S = 0.12
# With more hosts than this in the failure domain, or in total, each host
# reports less often, so that the rate of reports that a host, or the
# controller, receives stays the same.
DOMAIN_REPORT_HOSTS = 4
USAGE_REPORT_HOSTS = 60
# An unchanged report is repeated before it expires at the other hosts.
REPEAT_S = owner_usage.REPORT_TTL_S / 2
KEY_REPORT_S = 0.4
# As many as fit into a datagram, with long service names.
MAX_KEY_SAMPLES = 30
# Until reports of other hosts arrive, a host assumes that there are two.
MIN_DOMAIN_HOSTS = 2
CONTROLLER_HEARTBEAT_S = 0.5
# Without a heartbeat for this long, other hosts try to take the lease.
CONTROLLER_SILENCE_S = 1.4
# How often a newly registered host announces itself, as datagrams may be lost.
HELLO_TIMES = 3
HELLO_INTERVAL_S = 1.0
NEVER = -1000.0


def usage_interval_s(hosts: int) -> float:
    """Return the interval of each host's reports on contended owners."""
    return USAGE_REPORT_S * max(1.0, hosts / USAGE_REPORT_HOSTS)


class HostReports:
    """Sends this host's reports and applies those of the others.

    Attributes:
      on_host_joined: Called with the id of a host that announces itself.
      domain_load: The load of the other hosts of the failure domain.
      read_schedule: Tells when the shared objects are to be read.
    """

    def __init__(
        self,
        messenger: peers.Messenger,
        targets: directory.Directory,
        keys: key_table.KeyTable,
        request_queue: admission.Admission,
        lease: controller_lease.Lease,
        controller: key_controller.Controller,
        own: peers.Peer,
        clock: typing.Callable[[], float],
        random: typing.Callable[[], float],
    ) -> None:
        """Register the handlers of the messages of other hosts.

        Args:
          messenger: Exchanges datagrams with the other hosts.
          targets: The targets, whose load from other hosts is updated.
          keys: The key table, which receives changes of key maps.
          request_queue: Assigns waiting requests when keys or load change.
          lease: Shows whether this host is the controller.
          controller: Receives the load by key while this host is the
            controller.
          own: This host, as it is announced to the others.
          clock: Returns the event loop's time.
          random: Returns floats in [0, 1).
        """
        self.on_host_joined: typing.Callable[[str], None] | None = None
        self.domain_load = peers.DomainLoad(clock)
        self.read_schedule = shared_read_schedule.SharedReadSchedule(
            clock,
            random,
            keys.revision,
            self.is_controller_known,
            messenger.count_all,
        )
        self._own = own
        self._contended_services: frozenset[str] = frozenset()
        self._messenger = messenger
        self._targets = targets
        self._keys = keys
        self._admission = request_queue
        self._lease = lease
        self._controller = controller
        self._clock = clock
        self._controller_id = ''
        self._controller_heartbeat_at = NEVER
        self._is_load_stale = False
        self._parts = change_parts.PartAssembler()
        self._key_samples: list[tuple[str, int, float]] = []
        self._reported_load: dict[str, int] = {}
        self._reported_at = 0.0
        self._usage = owner_usage.UsageAggregator(clock)
        self._usage_reported_at = 0.0
        self._usage_by_others: owner_usage.UsageByTarget = {}
        self._usage_by_others_at = NEVER
        messenger.handler_by_kind.update(
            {
                message_kinds.LOAD: self._on_load,
                message_kinds.OWNER_USAGE: self._on_owner_usage,
                message_kinds.USAGE_BY_OTHERS: self._on_usage_by_others,
                message_kinds.KEY_LOAD: self._on_key_load,
                message_kinds.MISDIRECTED: self._on_misdirected,
                message_kinds.HEARTBEAT: self._on_heartbeat,
                message_kinds.RESIGNED: self._on_resigned,
                message_kinds.MOVE_COMPLETED: self._on_move_completed,
                message_kinds.KEY_MAP_CHANGE: self._on_key_map_change,
                message_kinds.HELLO: self._on_hello,
            }
        )

    # The controller.

    def is_controller_alive(self) -> bool:
        """Return whether another host has recently sent heartbeats."""
        silent_s = self._clock() - self._controller_heartbeat_at
        return silent_s < CONTROLLER_SILENCE_S

    def is_controller_known(self) -> bool:
        """Return whether this host is the controller or knows a live one."""
        return self._lease.is_held or self.is_controller_alive()

    async def send_heartbeats(self) -> None:
        """Send heartbeats to all hosts while this host is the controller.

        A heartbeat contains the revision of the lease, the revisions of the
        key maps, so that a host that missed a change notices it, and the
        contended services.
        """
        while self._lease.is_held:
            revisions = self._keys.revisions_to_announce()
            contended_services = sorted(self._controller.contended_services)
            self._record_announced(self._lease.revision, revisions)
            content = [self._lease.revision, revisions, contended_services]
            self._messenger.send_to_all(message_kinds.HEARTBEAT, content)
            await asyncio.sleep(CONTROLLER_HEARTBEAT_S)

    def broadcast_resignation(self) -> None:
        """Notify all hosts that this host is no longer the controller."""
        self._messenger.send_to_all(message_kinds.RESIGNED, None)

    def _on_heartbeat(self, host_id: str, content: typing.Any) -> None:
        self._controller_id = host_id
        self._controller_heartbeat_at = self._clock()
        lease_revision, revisions, contended_services = content
        self._contended_services = frozenset(contended_services)
        self._lease.record_heartbeat(lease_revision)
        self._record_announced(lease_revision, revisions)
        self.read_schedule.record_revisions(revisions)

    def _record_announced(
        self, lease_revision: int, revisions: dict[str, int]
    ) -> None:
        """Record the maps of the controller, and whether it acts on them.

        While it has only maps of an earlier era than its lease, it waits.
        """
        self._keys.record_announced(revisions)
        era = store_position.era_of(lease_revision)
        eras = map(store_position.era_of, revisions.values())
        if all(map_era == era for map_era in eras):
            self._lease.record_active_holder()

    def _on_resigned(self, host_id: str, content: typing.Any) -> None:
        if host_id == self._controller_id:
            self._controller_heartbeat_at = NEVER
            self._lease.record_resignation()

    # Discovery of hosts.

    async def announce(self) -> None:
        """Announce this registered host to the others until cancelled.

        Hosts that register later find this host in the store; those that
        registered earlier are notified here. While this host receives no
        heartbeats, the controller may not know it, so it announces itself to
        the holder of the lease again.
        """
        self.read_schedule.request()
        for _ in range(HELLO_TIMES):
            await asyncio.sleep(HELLO_INTERVAL_S)
            self._messenger.send_to_all(message_kinds.HELLO, self._hello())
        while True:
            await asyncio.sleep(HELLO_INTERVAL_S)
            if not self.is_controller_known():
                holder_id = self._lease.holder_id
                self._messenger.send(
                    holder_id, message_kinds.HELLO, self._hello()
                )

    def _hello(self) -> list[typing.Any]:
        return [*self._own.address, self._own.failure_domain]

    def _on_hello(self, host_id: str, content: typing.Any) -> None:
        ip, port, failure_domain = content
        self._messenger.by_id[host_id] = peers.Peer(
            host_id, model.Address(ip, port), failure_domain
        )
        if self.on_host_joined is not None:
            self.on_host_joined(host_id)

    # Load by key, and targets that do not hold the keys of a request.

    def record_keyed_request(
        self, service: str, key: int, work_s: float
    ) -> None:
        """Record a request for a key and its expected work."""
        if self._lease.is_held:
            self._controller.load.add(service, key, work_s)
            return
        self._key_samples.append((service, key, round(work_s, 3)))

    async def report_key_load(self) -> None:
        """Report the load by key to the controller until cancelled."""
        while True:
            await asyncio.sleep(KEY_REPORT_S)
            samples = self._key_samples[:MAX_KEY_SAMPLES]
            self._key_samples = []
            if samples and self._controller_id:
                self._messenger.send(
                    self._controller_id, message_kinds.KEY_LOAD, samples
                )

    def _on_key_load(self, host_id: str, content: typing.Any) -> None:
        for service, key, work_s in content:
            self._controller.load.add(service, key, work_s)

    def send_misdirected(self, target_id: str) -> None:
        """Notify the controller of a target that does not hold its keys."""
        if self._lease.is_held:
            self._controller.renew_soon(target_id)
            return
        if self._controller_id:
            self._messenger.send(
                self._controller_id, message_kinds.MISDIRECTED, target_id
            )

    def _on_misdirected(self, host_id: str, content: typing.Any) -> None:
        if self._lease.is_held:
            self._controller.renew_soon(content)

    # Moves of keys.

    def broadcast_key_map_change(
        self, old: model.KeyMap, new: model.KeyMap
    ) -> None:
        """Send all hosts the difference between two versions of a key map.

        If the difference is too long to send, or its datagram is lost, the
        other hosts read the key map from the store.
        """
        known = set(old.ranges)
        changed = [
            key_range._replace(former_holders='')
            for key_range in new.ranges
            if key_range not in known
        ]
        change = (new.service, old.revision, new.revision)

        def content(
            index: int, count: int, part: change_parts.Part
        ) -> list[typing.Any]:
            return [*change, index, count, [list(one) for one in part]]

        def fits(part: change_parts.Part) -> bool:
            return self._messenger.fits(
                message_kinds.KEY_MAP_CHANGE, content(0, 1, part)
            )

        parts = change_parts.split(changed, fits)
        for index, part in enumerate(parts):
            self._messenger.send_to_all(
                message_kinds.KEY_MAP_CHANGE, content(index, len(parts), part)
            )

    def _on_key_map_change(self, host_id: str, content: typing.Any) -> None:
        service, from_revision, revision, index, count, values = content
        part = [model.KeyRange(*value) for value in values]
        changed = self._parts.add((service, revision), index, count, part)
        if changed is None:
            return
        if self._keys.apply_diff(service, from_revision, revision, changed):
            self._admission.assign_waiting(service)

    def broadcast_move_completed(
        self, service: str, key_range: model.KeyRange
    ) -> None:
        """Notify all hosts that a range is owned by its new owner."""
        content = [
            service,
            key_range.first,
            key_range.last,
            key_range.fence,
        ]
        self._messenger.send_to_all(message_kinds.MOVE_COMPLETED, content)
        self._on_move_completed('', content)

    def _on_move_completed(self, host_id: str, content: typing.Any) -> None:
        self._keys.mark_move_completed(*content)
        self._admission.assign_waiting(content[0])

    # Load.

    async def report_load(self) -> None:
        """Report load and assign waiting requests until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._is_load_stale:
                self.apply_load()
            if self._admission.total_waiting():
                self._admission.assign_all_waiting()
            now = self._clock()
            if now - self._reported_at >= self._domain_interval_s():
                self._report_in_domain(now)
            if now - self._usage_reported_at >= usage_interval_s(
                self._messenger.count_all()
            ):
                self._report_owner_usage(now)

    def _domain_interval_s(self) -> float:
        return LOAD_REPORT_S * max(
            1.0, self.domain_load.hosts / DOMAIN_REPORT_HOSTS
        )

    def apply_load(self) -> None:
        """Set the load of the other hosts at each target."""
        self._is_load_stale = False
        self.domain_load.refresh()
        age_s = self._clock() - self._usage_by_others_at
        if age_s > owner_usage.REPORT_TTL_S:
            self._usage_by_others = {}
        for target_id, target in self._targets.by_id.items():
            in_domain = self.domain_load.in_flight_by_target.get(target_id, 0)
            usage = self._usage_by_others.get(target_id)
            # The usage by others includes the hosts of this failure domain.
            target.in_flight_elsewhere = (
                in_domain if usage is None else usage.in_flight
            )
            target.waiting_elsewhere = 0 if usage is None else usage.waiting
        self._admission.selection.domain_hosts = max(
            MIN_DOMAIN_HOSTS, self.domain_load.hosts
        )

    def _on_load(self, host_id: str, content: typing.Any) -> None:
        self.domain_load.record_report(host_id, content)
        self._is_load_stale = True

    def _on_owner_usage(self, host_id: str, content: typing.Any) -> None:
        """Reply to a report of a host's usage with the usage by others."""
        self._usage.record_report(host_id, owner_usage.decode_usage(content))
        usage_by_others = self._usage.usage_by_others(host_id)
        if host_id == self._own.host_id:
            self._on_usage_by_others(host_id, usage_by_others)
            return
        self._messenger.send(
            host_id, message_kinds.USAGE_BY_OTHERS, usage_by_others
        )

    def _on_usage_by_others(self, host_id: str, content: typing.Any) -> None:
        self._usage_by_others = owner_usage.decode_usage(content)
        self._usage_by_others_at = self._clock()
        self._is_load_stale = True

    def _report_in_domain(self, now: float) -> None:
        """Send the requests in flight to the hosts of this failure domain."""
        load = {
            target_id: target.in_flight
            for target_id, target in self._targets.by_id.items()
            if target.in_flight
        }
        unchanged = load == self._reported_load
        if unchanged and now - self._reported_at < REPEAT_S:
            return
        self._reported_load = load
        self._reported_at = now
        self._messenger.send_in_domain(message_kinds.LOAD, load)

    def _report_owner_usage(self, now: float) -> None:
        """Report the usage of contended owners to the controller.

        The controller replies with the usage by the other hosts. A host whose
        usage becomes empty reports that once.
        """
        self._usage_reported_at = now
        usage = self._usage_of_contended_owners()
        if not usage and not self._usage_by_others:
            return
        if self._lease.is_held:
            self._on_owner_usage(self._own.host_id, usage)
            return
        self._messenger.send(
            self._controller_id, message_kinds.OWNER_USAGE, usage
        )
        if not usage:
            self._usage_by_others = {}

    def _usage_of_contended_owners(self) -> owner_usage.UsageByTarget:
        waiting_by_owner = self._admission.waiting_by_owner()
        contended_services = self._contended_services
        if self._lease.is_held:
            contended_services = self._controller.contended_services
        usage = {}
        for target_id, target in self._targets.by_id.items():
            if not self._controller.is_keyed(target.entry.service):
                continue
            waiting = waiting_by_owner.get(target_id, 0)
            in_flight = target.in_flight
            is_contended = target.waiting_elsewhere > 0
            is_contended = (
                is_contended or target.entry.service in contended_services
            )
            if waiting or in_flight > 1 or (in_flight and is_contended):
                usage[target_id] = owner_usage.Usage(in_flight, waiting)
        return usage
