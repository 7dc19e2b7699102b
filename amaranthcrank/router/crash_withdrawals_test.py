import asyncio
import unittest
from unittest import mock

from amaranthcrank.router import crash_reports
from amaranthcrank.router import crash_withdrawals

CONFIRM_S = 0.05
REQUEST = b'12345678'
HOLDER = 'i-1/1'


class CrashWithdrawalsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.crashes = crash_reports.CrashReports(
            asyncio.get_running_loop().time
        )
        self.current = {HOLDER}
        self.withdrawals = crash_withdrawals.CrashWithdrawals(
            self.crashes, self.current.__contains__, CONFIRM_S
        )
        self.withdrawals.on_withdrawn = mock.Mock()
        self.crashes.record_crash(REQUEST, HOLDER)

    async def _run_and_wait(self):
        self.withdrawals.record_run(HOLDER)
        await asyncio.sleep(2 * CONFIRM_S)

    async def test_target_that_was_cut_off(self):
        # It had not crashed, so its requests are not blocked for its sake.
        await self._run_and_wait()
        self.assertEqual(self.crashes.count(REQUEST), 0)
        self.withdrawals.on_withdrawn.assert_called_once_with(HOLDER)

    async def test_next_incarnation_under_the_same_id(self):
        """Guards against a crashing request that is let through again.

        A target that has crashed and started again runs requests that name
        its id before its new entry is known.
        """
        self.withdrawals.record_run(HOLDER)
        self.assertEqual(self.crashes.count(REQUEST), 1)
        self.current.clear()
        await self._run_and_wait()
        self.assertEqual(self.crashes.count(REQUEST), 1)
        self.withdrawals.on_withdrawn.assert_not_called()

    async def test_target_that_crashes_after_it_ran_a_request(self):
        self.withdrawals.record_run(HOLDER)
        await asyncio.sleep(CONFIRM_S / 2)
        self.crashes.record_crash(REQUEST, HOLDER)
        await asyncio.sleep(CONFIRM_S)
        self.assertEqual(self.crashes.count(REQUEST), 1)

    async def test_target_without_reports(self):
        # Each response is recorded, so this must cost next to nothing.
        self.crashes.clear(REQUEST)
        with mock.patch.object(
            asyncio.get_running_loop(), 'call_later', autospec=True
        ) as call_later:
            self.withdrawals.record_run(HOLDER)
        call_later.assert_not_called()


if __name__ == '__main__':
    unittest.main()
