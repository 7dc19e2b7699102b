"""Runs all tests and tolerates the known failures listed in KNOWN-RED.txt.

Listed tests still run, and the result of each is printed, so that obsolete
entries are noticed. Any other failure fails the run.
"""

import pathlib
import sys
import typing

import nose2
from nose2 import events
from nose2 import result

KNOWN_FAILURES_PATH = pathlib.Path('KNOWN-RED.txt')
TEST_FIELD = 'test:'


class FailureReport(typing.NamedTuple):
    """The failures of a test run, compared with the known failures.

    Attributes:
      known_failures: Ids of listed tests that failed.
      new_failures: Ids of failed tests that are not listed.
      passed_this_time: Ids of listed tests that did not fail.
    """

    known_failures: tuple[str, ...]
    new_failures: tuple[str, ...]
    passed_this_time: tuple[str, ...]


def parse_known_failures(text: str) -> tuple[str, ...]:
    """Return the ids of the listed tests, in the order of the list."""
    known = []
    for line in text.splitlines():
        if not line.startswith(TEST_FIELD):
            continue
        known.append(line.removeprefix(TEST_FIELD).strip())
    return tuple(known)


def classify_failures(
    failed: typing.Collection[str], known: typing.Collection[str]
) -> FailureReport:
    """Divide test failures into known and new ones.

    Args:
      failed: The ids of the tests that failed.
      known: The ids of the listed tests.
    """
    return FailureReport(
        tuple(test_id for test_id in known if test_id in failed),
        tuple(sorted(set(failed) - set(known))),
        tuple(test_id for test_id in known if test_id not in failed),
    )


class OutcomeCollector(events.Plugin):
    """A nose2 plugin that collects the tests that ran and that failed.

    A failed subtest counts as a failure of its test. nose2 reports a class or
    module whose setup failed under a separate name, which matches no entry
    of the list.
    """

    alwaysOn = True
    ran: typing.ClassVar[set[str]] = set()
    failed: typing.ClassVar[set[str]] = set()

    def testOutcome(self, event: typing.Any) -> None:
        """Record the outcome of a test; nose2 calls this hook by its name."""
        test_case = getattr(event.test, 'test_case', event.test)
        self.ran.add(test_case.id())
        if event.outcome in (result.ERROR, result.FAIL):
            self.failed.add(test_case.id())
        if event.outcome == result.SUBTEST and event.exc_info:
            self.failed.add(test_case.id())
        if event.outcome == result.PASS and not event.expected:
            self.failed.add(test_case.id())


def main(arguments: list[str]) -> int:
    """Run the tests.

    Args:
      arguments: Command line arguments for nose2.

    Returns:
      The exit status: 1 if a test failed that is not listed, or no test ran.
    """
    known = parse_known_failures(
        KNOWN_FAILURES_PATH.read_text(encoding='utf-8')
    )
    nose2.discover(
        argv=['nose2', *arguments],
        exit=False,
        plugins=[OutcomeCollector.__module__],
    )
    failed = OutcomeCollector.failed
    report = classify_failures(failed, known)
    for test_id in report.known_failures:
        print(f'known red, failed: {test_id}')
    for test_id in report.passed_this_time:
        print(f'known red, passed this time: {test_id}')
    for test_id in report.new_failures:
        print(f'failed: {test_id}')
    ran = len(OutcomeCollector.ran)
    print(f'{ran - len(failed)} passed, {len(failed)} failed')
    return 1 if report.new_failures or not ran else 0


if __name__ == '__main__':
    # nose2 loads the plugin from tools.run_tests. As __main__ this module has
    # a second copy of the class, which would collect nothing.
    from tools import run_tests

    sys.exit(run_tests.main(sys.argv[1:]))
