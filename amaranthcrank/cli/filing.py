"""Files a ticket and waits until it is in force everywhere."""

from collections import abc
import time
import typing

from amaranthcrank.cli import operator_client
from amaranthcrank.core import codes
from amaranthcrank.record import tickets

POLL_INTERVAL_S = 0.25
FILING_ATTEMPTS = 2


class FilingResult(typing.NamedTuple):
    """What became of a filing.

    Attributes:
      number: The number of the ticket, 0 when it was not filed.
      response: The response that decided it.
      unknown: Whether it may have been filed, with no host to ask.
    """

    number: int
    response: operator_client.Response
    unknown: bool


class InForceStatus(typing.NamedTuple):
    """Whether a ticket is in force.

    Attributes:
      everywhere: Whether it is in force everywhere.
      lagging: The hosts known to lag.
      detail: What is known besides.
    """

    everywhere: bool
    lagging: tuple[str, ...]
    detail: str


def file_document(
    client: operator_client.Client, document: tickets.Document
) -> FilingResult:
    """File a document once, whatever happens to the answers.

    When an answer is lost, another host may take the same document: either
    it gets the number, or the number is taken and the uid of that ticket
    tells by whom.

    Args:
      client: How to reach the hosts.
      document: The document, with `expected` set.

    Returns:
      What became of it.
    """
    wanted = (document.expected or 0) + 1
    ambiguous = False
    for _ in range(FILING_ATTEMPTS):
        answer = operator_client.call(
            client, 'POST', '/tickets', document._asdict()
        )
        if answer.status == 201:
            return FilingResult(wanted, answer, False)
        ambiguous = ambiguous or _may_have_been_filed(answer)
        if not ambiguous:
            return FilingResult(0, answer, False)
        found = operator_client.call(client, 'GET', f'/tickets/{wanted}')
        if found.status == 200:
            filed = found.body.get('uid') == document.uid
            return FilingResult(wanted if filed else 0, answer, False)
    return FilingResult(0, answer, True)


def _may_have_been_filed(answer: operator_client.Response) -> bool:
    """Tell whether a host may have filed in spite of the answer."""
    if answer.maybe_received:
        return True
    numbers = {each.get('number') for each in problems_in(answer.body)}
    if answer.status >= 500 and not numbers:
        return True
    return codes.TICKET_OUTCOME_UNKNOWN.number in numbers


def wait_until_in_force(
    client: operator_client.Client,
    number: int,
    wait_s: float,
    clock: abc.Callable[[], float] = time.monotonic,
    sleep: abc.Callable[[float], None] = time.sleep,
) -> InForceStatus:
    """Poll the status until a ticket is in force everywhere.

    Args:
      client: How to reach the hosts.
      number: The number of the ticket.
      wait_s: How long to wait.
      clock: Gives the time in seconds.
      sleep: Waits for some seconds.

    Returns:
      The last that was seen.
    """
    deadline = clock() + wait_s
    while True:
        answer = operator_client.call(client, 'GET', '/status')
        force = InForceStatus(False, (), 'No host answers.')
        if answer.status == 200:
            try:
                force = in_force_status(answer.body, number)
            except (AttributeError, KeyError, TypeError):
                force = InForceStatus(False, (), 'The status has a bad form.')
        elif answer.status:
            force = InForceStatus(False, (), f'Status {answer.status}.')
        left = deadline - clock()
        if force.everywhere or left <= 0:
            return force
        sleep(min(POLL_INTERVAL_S, left))


def in_force_status(
    document: dict[str, typing.Any], number: int
) -> InForceStatus:
    """Tell from a status document whether a ticket is in force everywhere.

    A newer ticket holds the state of the older ones, so a host that lags
    behind the newest may still have this one in force.
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
    detail = f'No host of {unheard} was heard from.' if unheard else ''
    if not document['ready']:
        detail = f'{host} is not ready.'
    return InForceStatus(not lagging and not detail, lagging, detail)


def problems_in(body: dict[str, typing.Any]) -> list[dict[str, typing.Any]]:
    """Return the problems of an answer, empty where it has none."""
    problems = body.get('problems')
    if not isinstance(problems, list):
        return []
    return [each for each in problems if isinstance(each, dict)]
