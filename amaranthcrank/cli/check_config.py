"""Checks a configuration file with the decoder of the hosts."""

import json
import typing

from amaranthcrank.platform import manifest
from amaranthcrank.router import model
from amaranthcrank.router import ticket_differences
from amaranthcrank.router import ticket_findings


# The place of findings that concern the file as a whole.
FILE = 'file'


class Report(typing.NamedTuple):
    """The result of a check.

    Attributes:
      findings: The faults.
      differences: What differs from the version in force; None without it.
    """

    findings: tuple[ticket_findings.Finding, ...]
    differences: tuple[ticket_differences.Difference, ...] | None

    @property
    def is_accepted(self) -> bool:
        """Whether no finding is an error."""
        return all(
            finding.severity != ticket_findings.ERROR
            for finding in self.findings
        )


class _Configuration(typing.NamedTuple):
    """A decoded configuration and the content that it was decoded from."""

    ticket: model.Ticket
    spec: typing.Any


def decode(text: str) -> model.Ticket:
    """Decode a configuration, alone or as the `spec` of a stored object.

    Raises:
      ManifestError: It is not JSON, or hosts reject it.
    """
    return _decode(text).ticket


def _decode(text: str) -> _Configuration:
    try:
        content = json.loads(text)
    except json.JSONDecodeError as error:
        raise manifest.ManifestError(
            f'line {error.lineno} column {error.colno}: {error.msg}'
        ) from error
    except (ValueError, RecursionError) as error:
        raise manifest.ManifestError(
            str(error)[: manifest.MAX_ERROR_LENGTH]
        ) from error
    if isinstance(content, dict) and 'spec' in content:
        content = content['spec']
    return _Configuration(manifest.decode(content), content)


def check(
    text: str,
    regions: typing.Container[str] | None,
    in_force: model.Ticket | None,
) -> Report:
    """Check a configuration.

    Args:
      text: The configuration, as JSON.
      regions: The regions of the deployment; None if they are not known.
      in_force: The version in force, or None.
    """
    try:
        ticket, spec = _decode(text)
    except manifest.ManifestError as error:
        finding = ticket_findings.Finding(
            ticket_findings.ERROR, FILE, str(error)
        )
        return Report((finding,), None)
    findings = [
        ticket_findings.Finding(
            ticket_findings.WARNING,
            f'service {name}',
            'it has several rows, of which the last counts',
        )
        for name in manifest.repeated_services(spec)
    ]
    findings += ticket_findings.find(ticket, regions, in_force)
    differences = None
    if in_force is not None:
        differences = tuple(ticket_differences.differences(in_force, ticket))
    return Report(tuple(findings), differences)


def describe(report: Report) -> list[str]:
    """Return the lines that show a report."""
    lines = [
        f'{finding.severity}: {finding.place}: {finding.text}'
        for finding in report.findings
    ]
    for each in report.differences or ():
        line = f'{each.change}: {each.place}'
        if each.field:
            line += f': {each.field} from {each.old} to {each.new}'
        lines.append(line)
    return lines


def document(report: Report) -> dict[str, typing.Any]:
    """Return a report as a JSON document; `differences` may be null."""
    differences = None
    if report.differences is not None:
        differences = [each._asdict() for each in report.differences]
    return {
        'accepted': report.is_accepted,
        'findings': [each._asdict() for each in report.findings],
        'differences': differences,
    }
