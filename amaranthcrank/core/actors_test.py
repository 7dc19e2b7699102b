import unittest

from amaranthcrank.core import actors


def _divide(state, message):
    return state / message


class ActorsTest(unittest.TestCase):
    def test_actor_survives_an_exception_of_a_handler(self):
        """Guards against an exception that stops the actor and its state."""
        ref = actors.start('test', 6, {int: _divide})
        self.addCleanup(ref.stop)
        with self.assertRaises(ZeroDivisionError):
            actors.ask(ref, 0)
        ref.tell(0)
        self.assertEqual(2, actors.ask(ref, 3))

    def test_unknown_message_type_is_raised(self):
        """Guards against an exception returned as if it were a reply."""
        ref = actors.start('test', 6, {})
        self.addCleanup(ref.stop)
        with self.assertRaises(KeyError):
            actors.ask(ref, 'unknown')
