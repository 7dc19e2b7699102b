"""Drives the decision functions of one cell with small fakes.

The driver moves heartbeats, records, grants and store requests between the
real functions. Faults come from the caller; random delays from one seed.
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
TIME_OUT_S = 0.2
STORE_TIME_OUT_S = 0.3
WANTED = frozenset(model.SlotId(SERVICE, each) for each in range(SLOTS))


class Violation(AssertionError):
    """A point of the design page does not hold."""


class Process:
    """A process with a clock of its own rate that can freeze or die."""

    def __init__(self, world: 'World', name: str, incarnation: str) -> None:
        self.world = world
        self.name = name
        self.incarnation = incarnation
        self.rate, self.offset = world.clock_by_name[name]
        self.frozen = False
        self.waiting: list[typing.Callable[[], None]] = []

    def clock(self) -> float:
        return self.world.now * self.rate + self.offset

    def running(self) -> bool:
        return self.world.process_by_name.get(self.name) is self

    def deliver(self, action: typing.Callable[[], None]) -> None:
        if not self.running():
            return
        if self.frozen:
            self.waiting.append(action)
            return
        action()


class Upstream(Process):
    """Takes grants with a challenge and counts the lease on its clock."""

    def __init__(self, world: 'World', name: str, incarnation: str) -> None:
        super().__init__(world, name, incarnation)
        self.version = 0
        self.slots: frozenset[model.SlotId] = frozenset()
        self.lease_end = quorum.NEVER
        self.issued_at: dict[str, float] = {}

    def holds(self) -> frozenset[model.SlotId]:
        return self.slots if self.clock() < self.lease_end else frozenset()

    def answer(self, accepted: bool) -> grants.TargetResponse:
        challenge = f'{self.incarnation}/{len(self.issued_at)}'
        self.issued_at[challenge] = self.clock()
        return grants.TargetResponse(
            self.incarnation, challenge, self.version, False, 0, accepted
        )

    def take(self, step: grants.Step) -> grants.TargetResponse:
        if step.kind != grants.GRANT:
            return self.answer(True)
        issued_at = self.issued_at.get(step.challenge, quorum.NEVER)
        if not self.world.challenge_time:
            issued_at = self.clock()
        lease_end = issued_at + model.GRANT_LEASE_S
        if (
            step.incarnation != self.incarnation
            or step.version < self.version
            or lease_end <= self.clock()
        ):
            return self.answer(False)
        self.version = step.version
        self.lease_end = lease_end
        self.slots = frozenset(model.SlotId(*each[:2]) for each in step.slots)
        self.world.check_grant(self, step)
        return self.answer(True)

    def release(
        self, due: grants.DueRelease
    ) -> tuple[model.SlotId, ...] | None:
        if due.version < self.version:
            return None
        self.version = due.version
        # Some releases find work in flight and confirm nothing.
        if self.world.random.random() < 0.2:
            return ()
        self.slots -= frozenset(due.slots)
        return due.slots


class Host(Process):
    """One entry host: the pure functions and what the daemon would do."""

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
        self.held: list[typing.Callable[[], None]] | None = None
        self.beat_at = quorum.NEVER
        self.beat_promise = 0
        self.request = 0
        self.store_busy = False
        self.must_read = True
        self.listening_since = self.clock()
        self.ticked_at = self.clock()
        self.adopted_before = world.adopted
        self.high: tuple[int, ...] = (0, 0, 0)
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
        self.world.after(TICK_S, lambda: self.deliver(self.tick))

    def act(self, now: float) -> None:
        self.world.check_host(self)
        promised = self.state.promised
        if promised > self.beat_promise or (
            now - self.beat_at >= model.HEARTBEAT_INTERVAL_S
        ):
            self.beat(now)
        self.use_store(now)
        for target in self.world.targets:
            self.serve(target, now)

    def send(self, to: str, action: typing.Callable[[], None]) -> None:
        """Send; a host that froze mid-step sends when it returns."""
        if self.held is not None:
            self.held.append(lambda: self.world.send(self.name, to, action))
            return
        self.world.send(self.name, to, action)

    def beat(self, now: float) -> None:
        self.beat_at = now
        self.beat_promise = self.state.promised
        # Without a record the platform's host list names the peers.
        peers = quorum.peers(self.state) or self.world.host_list(self.name)
        down = frozenset(self.down)
        for peer in peers:
            self.state, heartbeat = quorum.heartbeat_for(
                self.state, peer, now, self.ticket
            )
            self.send(peer, self.for_host(peer, 'hear', heartbeat, down))

    def for_host(
        self, peer: str, method: str, *args: typing.Any
    ) -> typing.Callable[[], None]:
        """Make an action that calls a method of whoever runs as peer."""

        def act() -> None:
            process = self.world.process_by_name.get(peer)
            if process is not None:
                process.deliver(lambda: getattr(process, method)(*args))

        return act

    def hear(self, heartbeat: quorum.Heartbeat, down: frozenset[str]) -> None:
        now = self.clock()
        self.state = quorum.receive_heartbeat(self.state, heartbeat, now)
        self.ticket = max(self.ticket, heartbeat.ticket)
        self.down_by_host[heartbeat.sender] = down
        peer = quorum.newest_record_peer(self.state)
        if peer is not None:
            self.send(peer, self.for_host(peer, 'give', self.name))
        self.act(now)

    def give(self, peer: str) -> None:
        if self.state.record is not None:
            action = self.for_host(peer, 'learn', self.state.record)
            self.send(peer, action)

    def learn(self, record: model.CellRecord) -> None:
        if self.name not in self.world.without_records:
            self.install(record, False)

    def install(self, record: model.CellRecord, from_store: bool) -> None:
        now = self.clock()
        self.state = quorum.install_record(self.state, record, now, from_store)
        self.act(now)

    def use_store(self, now: float) -> None:
        state = self.state
        if self.store_busy or self.name == self.world.third:
            if state.recovered or self.store_busy:
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
            WANTED,
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
        self.store_busy = True
        self.request += 1
        number = self.request

        def answered(record: model.CellRecord | None) -> None:
            if number != self.request:
                return
            self.request += 1
            self.store_busy = False
            self.must_read = record is None
            if record is not None:
                self.install(record, True)

        def ask() -> None:
            record = operation(*args)
            self.world.send(
                STORE,
                self.name,
                lambda: self.deliver(lambda: answered(record)),
            )

        def ended() -> None:
            if number == self.request:
                answered(None)

        self.send(STORE, ask)
        self.world.after(STORE_TIME_OUT_S, lambda: self.deliver(ended))

    def serve(self, target: str, now: float) -> None:
        state = self.state
        heard = failure_detector.dispatch_hosts(state, now)
        if hashing.rendezvous(target, heard, 1) != (self.name,):
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
            self.exchange(target, step)
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
                self.ask_release(due)

    def exchange(self, target: str, step: grants.Step) -> None:
        asked_at = self.view_by_target[target].sent_at

        def note(answer: grants.TargetResponse | None) -> None:
            view = self.view_by_target[target]
            if not view.waiting or view.sent_at != asked_at:
                return
            if answer is None:
                noted = grants.record_miss(view, self.clock())
            else:
                noted = grants.record_response(view, answer, self.clock())
            self.view_by_target[target] = noted.view
            changed = noted.down != (target in self.down)
            (self.down.add if noted.down else self.down.discard)(target)
            if changed:
                self.beat(self.clock())
            self.act(self.clock())

        self.call(target, lambda upstream: upstream.take(step), note)
        self.world.after(TIME_OUT_S, lambda: self.deliver(lambda: note(None)))

    def ask_release(self, due: grants.DueRelease) -> None:
        self.releasing.add(due)

        def note(slots: tuple[model.SlotId, ...] | None) -> None:
            self.released = grants.with_release(
                self.released, due.target, due.version, slots or ()
            )
            self.act(self.clock())

        self.call(due.target, lambda upstream: upstream.release(due), note)
        self.world.after(
            TIME_OUT_S,
            lambda: self.deliver(lambda: self.releasing.discard(due)),
        )

    def call(
        self,
        target: str,
        operation: typing.Callable[[Upstream], typing.Any],
        note: typing.Callable[[typing.Any], None],
    ) -> None:
        def run() -> None:
            upstream = self.world.process_by_name.get(target)
            if upstream is not None:
                upstream.deliver(lambda: reply(upstream))

        def reply(upstream: Upstream) -> None:
            answer = operation(upstream)
            self.world.send(
                target, self.name, lambda: self.deliver(lambda: note(answer))
            )

        self.send(target, run)


class World:
    """One cell, its upstreams, the store and the oracle."""

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
        self.adopted = 0
        first = cell_record.first_record(CELL, self.hosts, self.third, 0)
        self.history = [first]
        self.process_by_name: dict[str, Process] = {}
        third_host = (self.third,) if self.third else ()
        for name in (*self.targets, *third_host, *self.hosts):
            self.start(name)

    def start(self, name: str) -> None:
        self.started += 1
        incarnation = f'{name}.{self.started}'
        kind = Upstream if name in self.targets else Host
        self.process_by_name.pop(name, None)
        process = kind.__new__(kind)
        self.process_by_name[name] = process
        process.__init__(self, name, incarnation)

    def kill(self, name: str) -> None:
        self.process_by_name.pop(name, None)

    def freeze(self, name: str, mid_step: bool = False) -> None:
        process = self.process_by_name.get(name)
        if process is None or process.frozen:
            return
        if mid_step and isinstance(process, Host):
            process.held = []
            process.beat_at = quorum.NEVER
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
        waiting, process.waiting = process.waiting, []
        if isinstance(process, Host) and process.held is not None:
            waiting = [*process.held, *waiting]
            process.held = None
        for action in waiting:
            process.deliver(action)

    def after(self, seconds: float, action: typing.Callable) -> None:
        self.events += 1
        heapq.heappush(self.queue, (self.now + seconds, self.events, action))

    def send(self, source: str, to: str, action: typing.Callable) -> None:
        link = frozenset({source, to})
        if link in self.cuts:
            return

        def arrive() -> None:
            if link not in self.cuts:
                action()

        self.after(self.random.uniform(0.0005, 0.008), arrive)

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
        """Make everything healthy; hosts that died start again."""
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
            raise Violation('a second list change while one is pending')
        body = cell_record.encode(record)
        decoded, problems = cell_record.decode(body)
        if decoded != record:
            raise Violation(f'record changed by the store: {problems}')
        self.history.append(record)
        return None if self._answer_is_lost() else record

    def condition_holds(self, record: model.CellRecord) -> bool:
        """Tell whether the conditional update takes this record."""
        return record.version == self.history[-1].version + 1

    def _answer_is_lost(self) -> bool:
        self.lost_answers -= 1
        return self.lost_answers >= 0

    def check_grant(self, upstream: Upstream, step: grants.Step) -> None:
        for name in self.targets:
            other = self.process_by_name.get(name)
            if other is None or other is upstream:
                continue
            both = other.holds() & upstream.holds()
            if both:
                raise Violation(
                    f'point 1: {sorted(both)} held by {name} and '
                    f'{upstream.name} at {self.now:.3f}'
                )
        if step.version > len(self.history):
            raise Violation(
                f'point 2: grant at version {step.version}, not in the store'
            )
        record = self.history[step.version - 1]
        for service, slot, fence in step.slots:
            held = record.assignment_by_slot[model.SlotId(service, slot)]
            if (held.target, held.fence) != (upstream.name, fence):
                raise Violation(f'point 2: {slot} granted, not in the store')

    def check_host(self, host: Host) -> None:
        state = host.state
        high = (
            state.promised,
            quorum.record_version(state),
            max(host.ticket, state.ticket),
        )
        if any(new < old for new, old in zip(high, host.high, strict=True)):
            raise Violation(f'point 8: {host.name} went back to {high}')
        host.high = high
        if state.recovered and state.promised < host.adopted_before:
            raise Violation(
                f'point 8: {host.name} recovered at {state.promised}, '
                f'{host.adopted_before} was adopted before it started'
            )
        self.adopted = max(self.adopted, quorum.adopted_version(state))

    def owned(self) -> frozenset[model.SlotId]:
        owned: frozenset[model.SlotId] = frozenset()
        for name in self.targets:
            upstream = self.process_by_name.get(name)
            if upstream is not None and not upstream.frozen:
                owned |= upstream.holds()
        return owned

    def check_owned(self, what: str) -> None:
        if self.owned() != WANTED:
            missing = sorted(WANTED - self.owned())
            raise Violation(f'{what}: {missing} without owner')

    def check_drained(self) -> None:
        drained = self.drained[-1]
        if drained >= set(self.targets):
            return
        for name in drained:
            if self.process_by_name[name].holds():
                raise Violation(f'point 6: {name} drains and holds slots')
