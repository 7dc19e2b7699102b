"""Tests of which host reads the store for a failure domain.

There are many hosts, every change must reach all of them, and each call costs
money. Readers fail, are disconnected, and return.
"""

import unittest

from amaranthcrank.router import reader_election

STEP_S = 0.05


class _Domain:
    """Simulated hosts; each read lasts as long as a reader's call."""

    def __init__(self, hosts, lost_share=0.0):
        self.now = 0.0
        self.reads = 0
        self.lost_share = lost_share
        self.down = set()
        self.received_at = {number: 0.0 for number in range(hosts)}
        self._draws = 0
        self._reading_until = {}
        self.election_by_number = {
            number: reader_election.ReaderElection(
                f'h-{number:02}',
                lambda: hosts,
                lambda: self.now,
                self._draw,
            )
            for number in range(hosts)
        }

    def _draw(self):
        self._draws += 1
        return (self._draws * 0.618) % 1.0

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for number, election in self.election_by_number.items():
                if number not in self.down:
                    self._step(number, election)

    def _step(self, number, election):
        until = self._reading_until.get(number)
        if until is None:
            if election.should_read():
                election.begin_read()
                self._reading_until[number] = (
                    self.now + reader_election.READER_WATCH_S
                )
            return
        if self.now < until:
            return
        del self._reading_until[number]
        self.reads += 1
        self.received_at[number] = self.now
        for other, receiver in self.election_by_number.items():
            if other == number or other in self.down:
                continue
            if self._draw() < self.lost_share:
                continue
            receiver.record_read_by(f'h-{number:02}')
            self.received_at[other] = self.now

    def longest_silence(self):
        return self.now - min(
            at
            for number, at in self.received_at.items()
            if number not in self.down
        )


class ReaderElectionTest(unittest.TestCase):
    def test_one_host_reads_for_all(self):
        domain = _Domain(16)
        domain.run(5.0)
        domain.reads = 0
        domain.run(20.0)
        self.assertLessEqual(
            domain.reads, 20.0 / reader_election.READER_WATCH_S
        )

    def test_reader_that_ends_is_replaced(self):
        """Guards against a change that hosts miss for more than 3 s."""
        domain = _Domain(16)
        domain.run(5.0)
        domain.down = {0}
        worst_s = 0.0
        for _ in range(100):
            domain.run(STEP_S)
            worst_s = max(worst_s, domain.longest_silence())
        self.assertLess(worst_s, 3.0)

    def test_reader_that_returns(self):
        domain = _Domain(16)
        domain.run(5.0)
        domain.down = {0}
        domain.run(5.0)
        domain.down = set()
        domain.run(5.0)
        domain.reads = 0
        domain.run(20.0)
        self.assertLessEqual(
            domain.reads, 20.0 / reader_election.READER_WATCH_S
        )

    def test_lost_datagrams(self):
        domain = _Domain(16, lost_share=0.2)
        worst_s = 0.0
        domain.run(5.0)
        for _ in range(400):
            domain.run(STEP_S)
            worst_s = max(worst_s, domain.longest_silence())
        self.assertLess(worst_s, 3.0)

    def test_few_hosts_each_read_the_store(self):
        election = reader_election.ReaderElection(
            'h-1', lambda: 3, lambda: 0.0, lambda: 0.5
        )
        election.record_read_by('h-0')
        self.assertFalse(election.is_enabled)
        self.assertTrue(election.should_read())

    def test_expedited_read(self):
        now = 0.0
        election = reader_election.ReaderElection(
            'h-1', lambda: 16, lambda: now, lambda: 0.5
        )
        election.record_read_by('h-0')
        election.expedite()
        now = reader_election.EXPEDITED_SPREAD_S
        self.assertTrue(election.should_read())


if __name__ == '__main__':
    unittest.main()
