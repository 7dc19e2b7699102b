import asyncio
import unittest

from amaranthcrank.router import shutdown_timeout


class ShutdownTimeoutTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.shutdown = shutdown_timeout.ShutdownTimeout()

    async def _wait(self):
        async with self.shutdown.limit():
            await asyncio.sleep(5.0)

    async def test_request_in_progress(self):
        """Guards against requests that outlast the process."""
        task = asyncio.create_task(self._wait())
        await asyncio.sleep(0.01)
        self.shutdown.begin(asyncio.get_running_loop().time() + 0.05)
        with self.assertRaises(shutdown_timeout.ProcessEndsError):
            await task

    async def test_request_after_the_shutdown_began(self):
        self.shutdown.begin(asyncio.get_running_loop().time() + 0.05)
        with self.assertRaises(shutdown_timeout.ProcessEndsError):
            await self._wait()

    async def test_other_timeout(self):
        """Guards against another time-out taken for the end."""
        with self.assertRaises(TimeoutError):
            async with self.shutdown.limit():
                async with asyncio.timeout(0.01):
                    await asyncio.sleep(5.0)

    async def test_caller_that_leaves(self):
        task = asyncio.create_task(self._wait())
        await asyncio.sleep(0.01)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
