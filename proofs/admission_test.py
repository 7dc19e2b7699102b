"""Fuzzing of the queue of a target against a simple oracle.

- Every pushed entry comes out exactly once: popped, dropped or removed.
- A rank lets a lower one go first no more often than that rank's floor
  earned while it waited.
- While a rank waits, it gets its floor of the dispatches, less two.
- Within a rank no waiting caller is passed over twice by the same other.
- No entry is sent at or after its deadline.
"""

import unittest
from unittest import mock

from hypothesis import stateful
from hypothesis import strategies

from amaranthcrank.admission import rank_queue
from amaranthcrank.core import codes
from amaranthcrank.core import model
from proofs import machines

FLOOR_BY_RANK = {model.URGENT: 0.0, model.NORMAL: 0.15, model.BULK: 0.05}
CALLERS = ('a', 'b', 'c')
# A rank's credit stays below 2, so this is the most that a floor may lag.
FLOOR_LAG = 2.0
ROUNDING = 1e-6
MAX_ENTRIES = 120


class Oracle:
    """What waits, as a plain list, and what each rank is owed."""

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self.waiting: list[rank_queue.Entry] = []
        self.earned = dict.fromkeys(model.RANKS, 0.0)
        self.out_of_order = dict.fromkeys(model.RANKS, 0)
        self.owed = dict.fromkeys(model.RANKS, 0.0)
        self.last_by_caller: dict[tuple[str, str], set[str]] = {}

    def leave(self, entry: rank_queue.Entry) -> None:
        """Take out an entry that the queue gave back."""
        assert entry in self.waiting, 'not waiting, or out twice'
        self.waiting.remove(entry)
        if not self._waits(entry.rank):
            self.owed[entry.rank] = 0.0
        if not self._waits(entry.rank, entry.caller):
            self.last_by_caller.pop((entry.rank, entry.caller), None)

    def sent(self, entry: rank_queue.Entry, now: float) -> None:
        """Check a dispatch, and take the entry out."""
        assert now < entry.deadline_at, 'sent after its deadline'
        self._check_turn(entry)
        for rank, floor in FLOOR_BY_RANK.items():
            if self._waits(rank):
                self.earned[rank] += floor
                self.owed[rank] += floor
        self.owed[entry.rank] = max(0.0, self.owed[entry.rank] - 1)
        higher = model.RANKS[: model.RANKS.index(entry.rank)]
        if any(self._waits(rank) for rank in higher):
            self.out_of_order[entry.rank] += 1
        for rank in model.RANKS:
            earned = self.earned[rank] + ROUNDING
            assert self.out_of_order[rank] <= earned, 'a lower rank went first'
            assert self.owed[rank] <= FLOOR_LAG, 'a floor was not kept'
        self.leave(entry)

    def _waits(self, rank: str, caller: str | None = None) -> bool:
        return any(
            entry.rank == rank and caller in (None, entry.caller)
            for entry in self.waiting
        )

    def _check_turn(self, entry: rank_queue.Entry) -> None:
        """Check that no waiting caller is passed over twice by another."""
        same_rank = [each for each in self.waiting if each.rank == entry.rank]
        own = [each for each in same_rank if each.caller == entry.caller]
        assert own[0] == entry, 'not the oldest of its caller'
        for caller in {each.caller for each in same_rank} - {entry.caller}:
            place = (entry.rank, caller)
            passed_by = self.last_by_caller.setdefault(place, set())
            assert entry.caller not in passed_by, 'passed over twice'
            passed_by.add(entry.caller)
        self.last_by_caller[entry.rank, entry.caller] = set()


class Machine(stateful.RuleBasedStateMachine):
    """Draws pushes, pops, removals, time and the pace of the target."""

    examples = 300
    steps = 50

    def __init__(self) -> None:
        """Open an empty queue with a small bound on its length."""
        super().__init__()
        self.now = 0.0
        self.number = 0
        self.oracle = Oracle()
        self.queue = rank_queue.open_queue(FLOOR_BY_RANK, 4, 0.01, MAX_ENTRIES)

    @stateful.rule(
        rank=strategies.sampled_from(model.RANKS),
        caller=strategies.sampled_from(CALLERS),
        time_left_s=strategies.sampled_from((0.0, 0.02, 0.3, 5.0, 60.0)),
        count=strategies.sampled_from((1, 1, 3, 20)),
    )
    def push(
        self, rank: str, caller: str, time_left_s: float, count: int
    ) -> None:
        """Push entries of one caller."""
        for _ in range(count):
            self.number += 1
            entry = rank_queue.Entry(
                str(self.number), rank, caller, self.now + time_left_s
            )
            self.oracle.waiting.append(entry)
            self._drop(rank_queue.push(self.queue, entry, self.now))

    @stateful.rule(rank=strategies.sampled_from(model.RANKS))
    def push_again(self, rank: str) -> None:
        """Push an id that waits already; it must come back at once."""
        if not self.oracle.waiting:
            return
        entry = self.oracle.waiting[0]._replace(rank=rank, caller='again')
        dropped = rank_queue.push(self.queue, entry, self.now)
        assert dropped == ((entry, codes.DUPLICATE),)

    @stateful.rule(count=strategies.sampled_from((1, 2, 10, 60)))
    def pop(self, count: int) -> None:
        """Send entries."""
        for _ in range(count):
            entry, dropped = rank_queue.pop(self.queue, self.now)
            self._drop(dropped)
            if entry is None:
                assert not self.oracle.waiting, 'None, but entries wait'
                return
            self.oracle.sent(entry, self.now)

    @stateful.rule(index=strategies.integers(0, 7))
    def remove(self, index: int) -> None:
        """Cancel an entry."""
        if not self.oracle.waiting:
            assert rank_queue.remove(self.queue, '1') is None
            return
        entry = self.oracle.waiting[index % len(self.oracle.waiting)]
        assert rank_queue.remove(self.queue, entry.request_id) == entry
        self.oracle.leave(entry)

    @stateful.rule()
    def drop_expired(self) -> None:
        """Run the timer."""
        self._drop(rank_queue.drop_expired(self.queue, self.now))
        for entry in self.oracle.waiting:
            assert entry.deadline_at > self.now, 'expired, but waits'

    @stateful.rule(step_s=strategies.sampled_from((0.001, 0.05, 1.0)))
    def advance(self, step_s: float) -> None:
        """Let time pass."""
        self.now += step_s

    @stateful.rule(
        width=strategies.integers(1, 4),
        service_s=strategies.sampled_from((0.0, 0.01, 0.2, 10.0)),
    )
    def set_pace(self, width: int, service_s: float) -> None:
        """Change the limit and the service time."""
        rank_queue.set_service_rate(self.queue, width, service_s)

    @stateful.invariant()
    def check(self) -> None:
        """Compare the lengths and the bounds."""
        assert rank_queue.length(self.queue) == len(self.oracle.waiting)
        assert len(self.oracle.waiting) <= MAX_ENTRIES
        for rank in model.RANKS:
            assert rank_queue.expected_wait(self.queue, rank) >= 0
            assert rank_queue.retry_after_ms(self.queue, rank) > 0

    def _drop(self, dropped: tuple[rank_queue.Dropped, ...]) -> None:
        for each in dropped:
            assert each.code.outcome == codes.NOT_RUN
            self.oracle.leave(each.entry)


class BusyMachine(Machine):
    """Draws long busy periods: no deadline is near, all ranks are offered."""

    examples = 100

    @stateful.rule()
    def flood(self) -> None:
        """Push all ranks and send half as many."""
        rank_queue.set_service_rate(self.queue, 4, 0.0)
        for rank in model.RANKS:
            self.push(rank, 'a', 60.0, 20)
        self.pop(30)


def _run(machine: type) -> None:
    machines.run(machine, machine.examples, machine.steps)


class ProofTest(unittest.TestCase):
    """The queue against the oracle."""

    def test_all_events(self):
        """No entry is lost or out twice, and no rule of order is broken."""
        _run(Machine)

    def test_busy_periods(self):
        """Floors hold and bound the waiting of higher ranks."""
        _run(BusyMachine)


class FaultTest(unittest.TestCase):
    """The oracle notices each fault."""

    def _assert_found(self, machine, name, fault, text):
        with mock.patch.object(rank_queue, name, fault):
            with self.assertRaisesRegex(AssertionError, text):
                _run(machine)

    def test_no_credit(self):
        """Strict priority starves the lower ranks."""

        def settle(queue, served):
            queue.consecutive_drops = 0

        self._assert_found(
            BusyMachine, '_update_credits', settle, 'a floor was not kept'
        )

    def test_credit_is_not_paid(self):
        """A rank that keeps its credit goes before higher ranks."""
        settled = rank_queue._update_credits

        def settle(queue, served):
            credit = served.credit
            settled(queue, served)
            served.credit = credit + served.floor

        self._assert_found(
            BusyMachine, '_update_credits', settle, 'a lower rank went first'
        )

    def test_no_turns(self):
        """A caller with many entries holds up the others."""
        self._assert_found(
            Machine, '_rotate_caller', lambda *_: None, 'passed over twice'
        )
