"""Simulates one cell around the real decision functions.

The simulation carries heartbeats, records, grants and store requests between
the functions under test, in simulated time. The test injects the faults;
message delays and clock rates are drawn from one seeded generator.
"""

import heapq
import random
import typing

from amaranthcrank.core import hashing
from amaranthcrank.core import model
from amaranthcrank.grant import grants
from amaranthcrank.grant import quorum
from amaranthcrank.observe import failure_detector
from amaranthcrank.plan import assignment
from amaranthcrank.record import cell_record

CELL = 'c'
STORE = 'store'
SERVICE = 'soaklog'
SLOTS = 6
TICK_S = 0.02
TIMEOUT_S = 0.2
STORE_TIMEOUT_S = 0.3
ALL_SLOTS = frozenset(model.SlotId(SERVICE, each) for each in range(SLOTS))


class Violation(AssertionError):
    """A rule of the design does not hold.

    The points in the messages are those of section 4.1 of the design.
    """


class Process:
    """A simulated process that can freeze or be killed.

    Attributes:
      rate: How fast its clock runs, relative to simulated time.
      offset: What its clock shows at simulated time 0.
      pending: What arrived while the process was frozen.
    """

    def __init__(self, world: 'World', name: str, incarnation: str) -> None:
        self.world = world
        self.name = name
        self.incarnation = incarnation
        self.rate, self.offset = world.clock_by_name[name]
        self.frozen = False
        self.pending: list[typing.Callable[[], None]] = []

    def clock(self) -> float:
        return self.world.now * self.rate + self.offset

    def is_current(self) -> bool:
        return self.world.process_by_name.get(self.name) is self

    def deliver(self, action: typing.Callable[[], None]) -> None:
        if not self.is_current():
            return
        if self.frozen:
            self.pending.append(action)
            return
        action()


class Upstream(Process):
    """A simulated upstream that accepts grants and counts their lease.

    The lease starts when the challenge was issued, on the upstream's clock.
    """

    def __init__(self, world: 'World', name: str, incarnation: str) -> None:
        super().__init__(world, name, incarnation)
        self.version = 0
        self.slots: frozenset[model.SlotId] = frozenset()
        self.lease_end = quorum.NEVER
        self.issued_at: dict[str, float] = {}

    def holds(self) -> frozenset[model.SlotId]:
        return self.slots if self.clock() < self.lease_end else frozenset()

    def new_answer(self, accepted: bool) -> grants.TargetResponse:
        challenge = f'{self.incarnation}/{len(self.issued_at)}'
        self.issued_at[challenge] = self.clock()
        return grants.TargetResponse(
            self.incarnation, challenge, self.version, False, 0, accepted
        )

    def on_step(self, step: grants.Step) -> grants.TargetResponse:
        if step.kind != grants.GRANT:
            return self.new_answer(True)
        issued_at = self.issued_at.get(step.challenge, quorum.NEVER)
        if not self.world.challenge_time:
            issued_at = self.clock()
        lease_end = issued_at + model.GRANT_LEASE_S
        if (
            step.incarnation != self.incarnation
            or step.version < self.version
            or lease_end <= self.clock()
        ):
            return self.new_answer(False)
        self.version = step.version
        self.lease_end = lease_end
        self.slots = frozenset(model.SlotId(*each[:2]) for each in step.slots)
        self.world.check_grant(self, step)
        return self.new_answer(True)

    def release(
        self, due: grants.DueRelease
    ) -> tuple[model.SlotId, ...] | None:
        if due.version < self.version:
            return None
        self.version = due.version
        # Confirms nothing, as an upstream with requests in flight.
        if self.world.random.random() < 0.2:
            return ()
        self.slots -= frozenset(due.slots)
        return due.slots


class Host(Process):
    """One simulated entry host: the pure functions in a reduced daemon.

    Attributes:
      deferred_sends: Messages of a step during which the host is frozen; they
        are sent when it resumes. `None` outside such a step.
      heartbeat_promised: The promised version in the last heartbeats.
      last_request: Number of the last store request; answers to earlier ones
        are ignored.
      adopted_at_start: The highest version adopted in the cell before the
        host started; it must not recover below it.
      highest: The versions and the ticket that the host has reached; none of
        them may decrease.
    """

    def __init__(self, world: 'World', name: str, incarnation: str) -> None:
        super().__init__(world, name, incarnation)
        self.state = quorum.initial_state(CELL, name, incarnation)
        self.ticket = 0
        self.view_by_target = {
            each: grants.new_view(each) for each in world.targets
        }
        self.released: dict[str, grants.Release] = {}
        self.releasing: set[grants.DueRelease] = set()
        self.down: set[str] = set()
        self.down_by_host: dict[str, frozenset[str]] = {}
        self.deferred_sends: list[typing.Callable[[], None]] | None = None
        self.heartbeats_sent_at = quorum.NEVER
        self.heartbeat_promised = 0
        self.last_request = 0
        self.store_request_pending = False
        self.must_read = True
        self.listening_since = self.clock()
        self.ticked_at = self.clock()
        self.adopted_at_start = world.adopted_version
        self.highest: tuple[int, ...] = (0, 0, 0)
        self.tick()

    def tick(self) -> None:
        now = self.clock()
        if now - self.ticked_at > 10 * TICK_S:
            self.listening_since = now
        self.ticked_at = now
        self.listening_since = failure_detector.listening_since(
            self.state, self.listening_since, now
        )
        self.act(now)
        self.world.schedule(TICK_S, lambda: self.deliver(self.tick))

    def act(self, now: float) -> None:
        self.world.check_host(self)
        promised = self.state.promised
        if promised > self.heartbeat_promised or (
            now - self.heartbeats_sent_at >= model.HEARTBEAT_INTERVAL_S
        ):
            self.send_heartbeats(now)
        self.sync_with_store(now)
        for target in self.world.targets:
            self.control_target(target, now)

    def send(
        self, destination: str, action: typing.Callable[[], None]
    ) -> None:
        """Send a message, after resuming if the host freezes in this step."""
        if self.deferred_sends is not None:
            self.deferred_sends.append(
                lambda: self.world.send(self.name, destination, action)
            )
            return
        self.world.send(self.name, destination, action)

    def send_heartbeats(self, now: float) -> None:
        self.heartbeats_sent_at = now
        self.heartbeat_promised = self.state.promised
        # Until a host has a record, it takes its peers from the host list
        # of the platform.
        peers = quorum.peers(self.state) or self.world.host_list(self.name)
        down = frozenset(self.down)
        for peer in peers:
            self.state, heartbeat = quorum.heartbeat_for(
                self.state, peer, now, self.ticket
            )
            self.send(
                peer, self.action_at(peer, 'on_heartbeat', heartbeat, down)
            )

    def action_at(
        self, peer: str, method: str, *args: typing.Any
    ) -> typing.Callable[[], None]:
        """Return an action that calls a method of the current peer process.

        The process is looked up on delivery, so that a message reaches the
        process that was started in the meantime.
        """

        def act() -> None:
            process = self.world.process_by_name.get(peer)
            if process is not None:
                process.deliver(lambda: getattr(process, method)(*args))

        return act

    def on_heartbeat(
        self, heartbeat: quorum.Heartbeat, down: frozenset[str]
    ) -> None:
        now = self.clock()
        self.state = quorum.receive_heartbeat(self.state, heartbeat, now)
        self.ticket = max(self.ticket, heartbeat.ticket)
        self.down_by_host[heartbeat.sender] = down
        peer = quorum.newest_record_peer(self.state)
        if peer is not None:
            self.send(
                peer, self.action_at(peer, 'on_record_request', self.name)
            )
        self.act(now)

    def on_record_request(self, peer: str) -> None:
        if self.state.record is not None:
            action = self.action_at(peer, 'on_record', self.state.record)
            self.send(peer, action)

    def on_record(self, record: model.CellRecord) -> None:
        if self.name not in self.world.without_records:
            self.install(record, False)

    def install(self, record: model.CellRecord, from_store: bool) -> None:
        now = self.clock()
        self.state = quorum.install_record(self.state, record, now, from_store)
        self.act(now)

    def sync_with_store(self, now: float) -> None:
        state = self.state
        if self.store_request_pending or self.name == self.world.third:
            if state.recovered or self.store_request_pending:
                return
        record = state.record
        wrong = record is None or record.version < state.promised
        if self.must_read or wrong or not state.recovered:
            self.ask_store(self.world.store_read, ())
            return
        following = self.next_record(record, now)
        if following is not record:
            self.must_read = True
            self.ask_store(self.world.store_write, (following,))

    def next_record(
        self, record: model.CellRecord, now: float
    ) -> model.CellRecord:
        state = self.state
        world = self.world
        if self.name not in record.hosts:
            hosts = (*record.hosts, self.name)
            return cell_record.with_hosts(record, hosts, world.third)[0] or (
                record
            )
        if quorum.acting_controller(state, now) != self.name:
            return record
        self.ticket = max(self.ticket, world.ticket_seen_by(self.name))
        if record.previous_attesters and quorum.is_attester_change_in_force(
            state
        ):
            return cell_record.with_attester_change_completed(record)
        gone = failure_detector.hosts_to_remove(
            state, self.listening_since, now
        )
        if gone:
            hosts = tuple(each for each in record.hosts if each not in gone)
            return cell_record.with_hosts(record, hosts, world.third)[0]
        down = set(self.down)
        for host in quorum.hosts_seen_within(state, now, 0.4):
            down |= self.down_by_host.get(host, frozenset())
        planned, _ = assignment.plan_slots(
            record.assignment_by_slot,
            ALL_SLOTS,
            world.targets_at(self.ticket),
            {},
            frozenset(down),
            record.version + 1,
        )
        return cell_record.with_assignments(
            record, planned, quorum.effective_version(state, now)
        )

    def ask_store(
        self, operation: typing.Callable[..., typing.Any], args: tuple
    ) -> None:
        self.store_request_pending = True
        self.last_request += 1
        number = self.last_request

        def on_answer(record: model.CellRecord | None) -> None:
            if number != self.last_request:
                return
            self.last_request += 1
            self.store_request_pending = False
            self.must_read = record is None
            if record is not None:
                self.install(record, True)

        def run_operation() -> None:
            record = operation(*args)
            self.world.send(
                STORE,
                self.name,
                lambda: self.deliver(lambda: on_answer(record)),
            )

        def on_timeout() -> None:
            if number == self.last_request:
                on_answer(None)

        self.send(STORE, run_operation)
        self.world.schedule(STORE_TIMEOUT_S, lambda: self.deliver(on_timeout))

    def control_target(self, target: str, now: float) -> None:
        state = self.state
        candidates = failure_detector.dispatch_hosts(state, now)
        if hashing.rendezvous(target, candidates, 1) != (self.name,):
            self.down.discard(target)
            return
        effective = quorum.effective_version(state, now)
        until = quorum.host_lease_until(state, now)
        view = self.view_by_target[target]
        if self.world.eager and not view.waiting:
            view = view._replace(retry=True)
        step = grants.next_control_step(
            view, state.record, until, effective, self.released, now
        )
        if step.kind != grants.NOTHING:
            self.view_by_target[target] = grants.record_sent(view, step, now)
            self.send_step(target, step)
        if state.record is None or until <= now:
            return
        for due in grants.due_releases(
            state.record,
            target,
            effective,
            self.released,
            quorum.exclusive_version(state, now),
        ):
            if due not in self.releasing and due.target in self.world.fenced:
                self.request_release(due)

    def send_step(self, target: str, step: grants.Step) -> None:
        asked_at = self.view_by_target[target].sent_at

        def on_answer(answer: grants.TargetResponse | None) -> None:
            view = self.view_by_target[target]
            if not view.waiting or view.sent_at != asked_at:
                return
            if answer is None:
                updated = grants.record_miss(view, self.clock())
            else:
                updated = grants.record_response(view, answer, self.clock())
            self.view_by_target[target] = updated.view
            changed = updated.down != (target in self.down)
            (self.down.add if updated.down else self.down.discard)(target)
            if changed:
                self.send_heartbeats(self.clock())
            self.act(self.clock())

        self.call(target, lambda upstream: upstream.on_step(step), on_answer)
        self.world.schedule(
            TIMEOUT_S, lambda: self.deliver(lambda: on_answer(None))
        )

    def request_release(self, due: grants.DueRelease) -> None:
        self.releasing.add(due)

        def on_release(slots: tuple[model.SlotId, ...] | None) -> None:
            self.released = grants.with_release(
                self.released, due.target, due.version, slots or ()
            )
            self.act(self.clock())

        self.call(
            due.target, lambda upstream: upstream.release(due), on_release
        )
        self.world.schedule(
            TIMEOUT_S,
            lambda: self.deliver(lambda: self.releasing.discard(due)),
        )

    def call(
        self,
        target: str,
        operation: typing.Callable[[Upstream], typing.Any],
        on_answer: typing.Callable[[typing.Any], None],
    ) -> None:
        def run() -> None:
            upstream = self.world.process_by_name.get(target)
            if upstream is not None:
                upstream.deliver(lambda: answer_call(upstream))

        def answer_call(upstream: Upstream) -> None:
            answer = operation(upstream)
            self.world.send(
                target,
                self.name,
                lambda: self.deliver(lambda: on_answer(answer)),
            )

        self.send(target, run)


class World:
    """One cell with its upstreams and store, and the checks of the rules.

    Attributes:
      now: Simulated time in seconds.
      challenge_time: Whether upstreams count a lease from the time at which
        the challenge was issued, as they must.
      queue: Scheduled actions as (time, sequence number, action).
      spare: Hosts that can join the cell later.
      third: The attester outside the cell's hosts, if there is one.
      fenced: Targets that confirm releases.
      without_records: Hosts that drop records sent by other hosts.
      eager: Whether grants are renewed as often as possible.
      cuts: Pairs of processes between which messages are lost.
      lost_answers: How many store answers get lost from now on.
      drained: For each ticket, the targets that drain.
      adopted_version: The highest version that a host has adopted.
      history: All versions of the cell record in the store.
    """

    def __init__(
        self, count: int, third: bool, seed: int, challenge_time: bool = True
    ) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.challenge_time = challenge_time
        self.queue: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.events = 0
        self.started = 0
        self.hosts = tuple(f'h{each}' for each in range(count))
        self.spare = ('x0', 'x1')
        self.third = 'third' if third else None
        self.targets = ('t0', 't1', 't2')
        self.fenced: frozenset[str] = frozenset()
        self.without_records: frozenset[str] = frozenset()
        self.eager = False
        self.clock_by_name = {}
        for name in (*self.hosts, *self.spare, 'third', *self.targets):
            rate = self.random.uniform(0.995, 1.005)
            self.clock_by_name[name] = (rate, self.random.uniform(0, 1000))
        self.cuts: set[frozenset[str]] = set()
        self.store_up = True
        self.lost_answers = 0
        self.drained: list[frozenset[str]] = [frozenset()]
        self.drained_at = 0.0
        self.adopted_version = 0
        first = cell_record.first_record(CELL, self.hosts, self.third, 0)
        self.history = [first]
        self.process_by_name: dict[str, Process] = {}
        third_host = (self.third,) if self.third else ()
        for name in (*self.targets, *third_host, *self.hosts):
            self.start(name)

    def start(self, name: str) -> None:
        self.started += 1
        incarnation = f'{name}.{self.started}'
        process_class = Upstream if name in self.targets else Host
        self.process_by_name.pop(name, None)
        process = process_class.__new__(process_class)
        self.process_by_name[name] = process
        process.__init__(self, name, incarnation)

    def kill(self, name: str) -> None:
        self.process_by_name.pop(name, None)

    def freeze(self, name: str, mid_step: bool = False) -> None:
        """Freeze a process.

        Args:
          name: The process.
          mid_step: Whether a host freezes between its decisions and the sends
            that follow from them, which then happen on resuming.
        """
        process = self.process_by_name.get(name)
        if process is None or process.frozen:
            return
        if mid_step and isinstance(process, Host):
            process.deferred_sends = []
            process.heartbeats_sent_at = quorum.NEVER
            for target, view in process.view_by_target.items():
                view = view._replace(retry=True, waiting=False)
                process.view_by_target[target] = view
            process.act(process.clock())
        process.frozen = True

    def resume(self, name: str) -> None:
        process = self.process_by_name.get(name)
        if process is None or not process.frozen:
            return
        process.frozen = False
        pending, process.pending = process.pending, []
        if isinstance(process, Host) and process.deferred_sends is not None:
            pending = [*process.deferred_sends, *pending]
            process.deferred_sends = None
        for action in pending:
            process.deliver(action)

    def schedule(self, seconds: float, action: typing.Callable) -> None:
        self.events += 1
        heapq.heappush(self.queue, (self.now + seconds, self.events, action))

    def send(
        self, source: str, destination: str, action: typing.Callable
    ) -> None:
        link = frozenset({source, destination})
        if link in self.cuts:
            return

        def arrive() -> None:
            if link not in self.cuts:
                action()

        self.schedule(self.random.uniform(0.0005, 0.008), arrive)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end

    def cut(self, group: typing.Iterable[str], others: typing.Iterable[str]):
        for one in group:
            for other in others:
                if one != other:
                    self.cuts.add(frozenset({one, other}))

    def heal(self) -> None:
        """End all faults and restart the processes that were killed."""
        self.cuts.clear()
        self.without_records = frozenset()
        self.store_up = True
        self.lost_answers = 0
        for name in (*self.targets, *self.members()):
            if name not in self.process_by_name:
                self.start(name)
            self.resume(name)

    def members(self) -> tuple[str, ...]:
        third = (self.third,) if self.third else ()
        joined = [
            each
            for each in self.spare
            if each in self.process_by_name or each in self.history[-1].hosts
        ]
        return (*self.hosts, *third, *joined)

    def host_list(self, name: str) -> tuple[str, ...]:
        return tuple(each for each in self.members() if each != name)

    def file_drain(self, drained: frozenset[str]) -> None:
        self.drained.append(drained)
        self.drained_at = self.now

    def ticket_seen_by(self, host: str) -> int:
        reachable = frozenset({host, STORE}) not in self.cuts
        if self.store_up and reachable:
            return len(self.drained) - 1
        return 0

    def targets_at(self, ticket: int) -> tuple[model.Target, ...]:
        return tuple(
            model.Target(
                each,
                SERVICE,
                CELL,
                '',
                3,
                10,
                each in self.fenced,
                each in self.drained[ticket],
            )
            for each in self.targets
        )

    def store_read(self) -> model.CellRecord | None:
        if not self.store_up or self._answer_is_lost():
            return None
        return self.history[-1]

    def store_write(self, record: model.CellRecord) -> model.CellRecord | None:
        before = self.history[-1]
        if not self.store_up or not self.condition_holds(record):
            return None
        if record.version <= before.version:
            stored = self.history[record.version - 1]
            if record != stored or record.version < before.version:
                raise Violation(
                    f'point 2: version {before.version} overwritten by '
                    f'{record}'
                )
            return record
        for slot_id, old in before.assignment_by_slot.items():
            new = record.assignment_by_slot.get(slot_id)
            if new != old and (new is None or new.fence != record.version):
                raise Violation(f'point 2: {slot_id} lost in {record}')
        if before.previous_attesters and (
            record.attesters != before.attesters
        ):
            raise Violation(
                'attesters changed while an earlier change is pending'
            )
        body = cell_record.encode(record)
        decoded, problems = cell_record.decode(body)
        if decoded != record:
            raise Violation(f'record changed by the store: {problems}')
        self.history.append(record)
        return None if self._answer_is_lost() else record

    def condition_holds(self, record: model.CellRecord) -> bool:
        """Tell whether a conditional write of this record succeeds."""
        return record.version == self.history[-1].version + 1

    def _answer_is_lost(self) -> bool:
        self.lost_answers -= 1
        return self.lost_answers >= 0

    def check_grant(self, upstream: Upstream, step: grants.Step) -> None:
        for name in self.targets:
            other = self.process_by_name.get(name)
            if other is None or other is upstream:
                continue
            shared = other.holds() & upstream.holds()
            if shared:
                raise Violation(
                    f'point 1: {sorted(shared)} held by {name} and '
                    f'{upstream.name} at {self.now:.3f}'
                )
        if step.version > len(self.history):
            raise Violation(
                f'point 2: grant at version {step.version}, not in the store'
            )
        record = self.history[step.version - 1]
        for service, slot, fence in step.slots:
            owner = record.assignment_by_slot[model.SlotId(service, slot)]
            if (owner.target, owner.fence) != (upstream.name, fence):
                raise Violation(f'point 2: {slot} granted, not in the store')

    def check_host(self, host: Host) -> None:
        state = host.state
        current = (
            state.promised,
            quorum.record_version(state),
            max(host.ticket, state.ticket),
        )
        if any(
            new < old for new, old in zip(current, host.highest, strict=True)
        ):
            raise Violation(f'point 8: {host.name} went back to {current}')
        host.highest = current
        if state.recovered and state.promised < host.adopted_at_start:
            raise Violation(
                f'point 8: {host.name} recovered at {state.promised}, '
                f'{host.adopted_at_start} was adopted before it started'
            )
        self.adopted_version = max(
            self.adopted_version, quorum.adopted_version(state)
        )

    def owned(self) -> frozenset[model.SlotId]:
        owned: frozenset[model.SlotId] = frozenset()
        for name in self.targets:
            upstream = self.process_by_name.get(name)
            if upstream is not None and not upstream.frozen:
                owned |= upstream.holds()
        return owned

    def check_owned(self, what: str) -> None:
        if self.owned() != ALL_SLOTS:
            missing = sorted(ALL_SLOTS - self.owned())
            raise Violation(f'{what}: {missing} without owner')

    def check_drained(self) -> None:
        drained = self.drained[-1]
        if drained >= set(self.targets):
            return
        for name in drained:
            if self.process_by_name[name].holds():
                raise Violation(f'point 6: {name} is draining but holds slots')
