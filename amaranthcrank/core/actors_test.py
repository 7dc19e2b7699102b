import unittest

from amaranthcrank.core import actors


def _divide(state, message):
    return state / message


class ActorsTest(unittest.TestCase):
    def test_a_failed_message_is_raised_and_outlived(self):
        """Guards against an actor that ends with all that it owns."""
        ref = actors.start('test', 6, {int: _divide})
        self.addCleanup(ref.stop)
        with self.assertRaises(ZeroDivisionError):
            actors.ask(ref, 0)
        ref.tell(0)
        self.assertEqual(2, actors.ask(ref, 3))

    def test_an_unknown_message_is_raised(self):
        """Guards against an error that is taken for an answer."""
        ref = actors.start('test', 6, {})
        self.addCleanup(ref.stop)
        with self.assertRaises(KeyError):
            actors.ask(ref, 'unknown')
