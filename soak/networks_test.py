import contextlib
import unittest

from soak import networks


class ClaimTest(unittest.IsolatedAsyncioTestCase):
    async def test_two_soaks_of_one_seed(self):
        """Guards against soaks that take each other's addresses."""
        async with contextlib.AsyncExitStack() as stack:
            first = networks.claim(stack, 5)
            self.assertNotEqual(networks.claim(stack, 5), first)

    async def test_network_is_given_back(self):
        async with contextlib.AsyncExitStack() as stack:
            first = networks.claim(stack, 5)
        async with contextlib.AsyncExitStack() as stack:
            self.assertEqual(networks.claim(stack, 5), first)
