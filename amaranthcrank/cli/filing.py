"""Files a ticket and waits until it is in force on all hosts."""

from collections import abc
import time
import typing

from amaranthcrank.cli import operator_client
from amaranthcrank.core import codes
from amaranthcrank.record import tickets

POLL_INTERVAL_S = 0.25
FILING_ATTEMPTS = 2


class FilingResult(typing.NamedTuple):
    """Result of filing a document.

    Attributes:
      number: The number of the ticket, 0 when it was not filed.
      response: The last response to the filing request.
      unknown: Whether the ticket may have been filed although no host
        could confirm it.
    """

    number: int
    response: operator_client.Response
    unknown: bool


class InForceStatus(typing.NamedTuple):
    """Whether a ticket is in force.

    Attributes:
      everywhere: Whether it is in force on all hosts.
      lagging: The ids of hosts known to follow an older ticket.
      detail: Any other reason why it does not count as in force.
    """

    everywhere: bool
    lagging: tuple[str, ...]
    detail: str


def file_document(
    client: operator_client.Client, document: tickets.Document
) -> FilingResult:
    """File a document at most once, even if responses are lost.

    After a lost response the same document is sent again. Either this
    attempt is assigned the expected number, or that number is taken
    already and the uid of its ticket shows whether the first attempt
    took effect.

    Args:
      client: The client of the operator interface.
      document: The document, with `expected` set.

    Returns:
      The result.
    """
    expected_number = (document.expected or 0) + 1
    ambiguous = False
    for _ in range(FILING_ATTEMPTS):
        response = operator_client.call(
            client, 'POST', '/tickets', document._asdict()
        )
        if response.status == 201:
            return FilingResult(expected_number, response, False)
        ambiguous = ambiguous or _may_have_been_filed(response)
        if not ambiguous:
            return FilingResult(0, response, False)
        lookup = operator_client.call(
            client, 'GET', f'/tickets/{expected_number}'
        )
        if lookup.status == 200:
            filed = lookup.body.get('uid') == document.uid
            return FilingResult(
                expected_number if filed else 0, response, False
            )
    return FilingResult(0, response, True)


def _may_have_been_filed(response: operator_client.Response) -> bool:
    """Return whether the ticket may have been filed despite the error."""
    if response.maybe_received:
        return True
    numbers = {each.get('number') for each in problems_in(response.body)}
    if response.status >= 500 and not numbers:
        return True
    return codes.TICKET_OUTCOME_UNKNOWN.number in numbers


def wait_until_in_force(
    client: operator_client.Client,
    number: int,
    wait_s: float,
    clock: abc.Callable[[], float] = time.monotonic,
    sleep: abc.Callable[[float], None] = time.sleep,
) -> InForceStatus:
    """Poll the status until a ticket is in force on all hosts.

    Args:
      client: The client of the operator interface.
      number: The number of the ticket.
      wait_s: The longest time to wait.
      clock: Returns a monotonic time in seconds.
      sleep: Suspends the thread for a number of seconds.

    Returns:
      The status at the last poll.
    """
    deadline = clock() + wait_s
    while True:
        response = operator_client.call(client, 'GET', '/status')
        status = InForceStatus(False, (), 'No host answers.')
        if response.status == 200:
            try:
                status = in_force_status(response.body, number)
            except (AttributeError, KeyError, TypeError):
                status = InForceStatus(
                    False, (), 'The status document is malformed.'
                )
        elif response.status:
            status = InForceStatus(
                False, (), f'The host answered with status {response.status}.'
            )
        remaining_s = deadline - clock()
        if status.everywhere or remaining_s <= 0:
            return status
        sleep(min(POLL_INTERVAL_S, remaining_s))


def in_force_status(
    document: dict[str, typing.Any], number: int
) -> InForceStatus:
    """Derive from a status document whether a ticket is in force.

    Each ticket contains the complete state, so a host that follows any
    ticket from `number` on has this one in force, even if it lags behind
    the newest.
    """
    host = document['host']
    if document['ticket'] < number:
        detail = f'{host} has ticket {document["ticket"]}.'
        return InForceStatus(False, (host,), detail)
    ticket_by_host = {
        name: each['ticket']
        for cell in document['cells'].values()
        for name, each in cell['hosts'].items()
    }
    lagging = tuple(
        name
        for name in document['lagging']
        if ticket_by_host.get(name, 0) < number
    )
    unheard = ', '.join(document.get('unheard', ()))
    detail = (
        f'No status received from any host of {unheard}.' if unheard else ''
    )
    if not document['ready']:
        detail = f'{host} is not ready.'
    return InForceStatus(not lagging and not detail, lagging, detail)


def problems_in(body: dict[str, typing.Any]) -> list[dict[str, typing.Any]]:
    """Return the problems listed in a response body, if any."""
    problems = body.get('problems')
    if not isinstance(problems, list):
        return []
    return [each for each in problems if isinstance(each, dict)]
