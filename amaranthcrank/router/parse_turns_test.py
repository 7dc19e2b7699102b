import unittest

from amaranthcrank.router import parse_turns


class _Loop:
    """Calls what is scheduled one turn after the other."""

    def __init__(self):
        self.calls = []

    def run_turn(self):
        calls, self.calls = self.calls, []
        for call in calls:
            call()
        return bool(calls)


class _Reader:
    def __init__(self, turns, events):
        self.turns = turns
        self.left = events
        self.most_in_turn = 0

    def resume_parsing(self):
        used = 0
        while self.left and self.turns.take(self):
            self.left -= 1
            used += 1
        self.most_in_turn = max(self.most_in_turn, used)


class ParseTurnsTest(unittest.TestCase):
    def setUp(self):
        self.loop = _Loop()
        self.turns = parse_turns.ParseTurns(self._call_soon, 64)

    def _call_soon(self, call):
        self.loop.calls.append(call)

    def _start(self, *events):
        readers = [_Reader(self.turns, count) for count in events]
        for reader in readers:
            reader.resume_parsing()
        return readers

    def test_ordinary_request_is_not_deferred(self):
        """Guards against a delay of each request."""
        reader = self._start(3)[0]
        self.assertEqual(reader.left, 0)
        self.assertFalse(self.turns.is_waiting(reader))

    def test_tiny_chunks_do_not_starve_others(self):
        """Guards against seconds in which only chunks are parsed."""
        readers = self._start(*[40_000] * 16)
        ordinary = self._start(3)[0]
        turns = 0
        while ordinary.left:
            self.loop.run_turn()
            turns += 1
        self.assertLessEqual(turns, 5)
        self.assertLessEqual(
            max(reader.most_in_turn for reader in readers), 16
        )

    def test_everything_is_parsed_in_the_end(self):
        """Guards against a connection whose turn never comes."""
        readers = self._start(*[1000] * 20)
        while self.loop.run_turn():
            pass
        self.assertEqual([reader.left for reader in readers], [0] * 20)

    def test_closed_connection_gets_no_turn(self):
        """Guards against parsing for a caller that has left."""
        reader = self._start(100)[0]
        left = reader.left
        self.turns.remove(reader)
        while self.loop.run_turn():
            pass
        self.assertEqual(reader.left, left)
