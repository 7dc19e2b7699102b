"""Actor with the ledger and the quarantine of one host."""

import time
import typing

import pykka

from amaranthcrank.core import actors
from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.dispatch import ledger
from amaranthcrank.dispatch import quarantine


class RecordIntent(typing.NamedTuple):
    """Record an intent.

    The reply is the code of the ledger, or NO_INTENT if this host has an
    older record than the dispatching host.

    Attributes:
      request_id: The id.
      issued_at_ms: When the id was issued.
      slot: The slot that the key hashes to.
      token: The token of the attempt.
      version: The record version of the dispatching host.
    """

    request_id: str
    issued_at_ms: int
    slot: model.SlotId
    token: str
    version: int


class ReleaseIntent(typing.NamedTuple):
    """Remove the intent of an attempt that will never run."""

    request_id: str
    token: str


class RecordSent(typing.NamedTuple):
    """Record that this host is about to send an id."""

    request_id: str
    issued_at_ms: int
    token: str


class GetRefusalCode(typing.NamedTuple):
    """Ask with which code a request has to be refused."""

    request_id: str
    token: str
    code: codes.Code


class StoreResponse(typing.NamedTuple):
    """Store the response of a served request."""

    request_id: str
    digest: str
    response: model.Outcome


class GetStoredResponse(typing.NamedTuple):
    """Ask for the stored response; the reply is None if there is none."""

    request_id: str
    digest: str


class HoldersChanged(typing.NamedTuple):
    """The hosts of the cell changed, so the holders of slots may differ.

    Attributes:
      version: The record version that this host applies.
      slots: The slots.
      old_hosts: The previous hosts, empty for slots that are new in the cell.
      new_hosts: The new hosts.
      adopted: Whether the version is known to be adopted.
    """

    version: int
    slots: tuple[model.SlotId, ...]
    old_hosts: tuple[str, ...]
    new_hosts: tuple[str, ...]
    adopted: bool


class RecordCrash(typing.NamedTuple):
    """Count a crash; the reply is the newly quarantined fingerprints."""

    event: str
    fingerprints: tuple[str, ...]


class RecordServed(typing.NamedTuple):
    """Clear the crash counts of a request that was served."""

    fingerprint: str


class GetSuspected(typing.NamedTuple):
    """Ask for the fingerprints that have crash counts."""


class MergeCrashes(typing.NamedTuple):
    """Merge the crashes known to a peer.

    The reply is the newly quarantined fingerprints.
    """

    crashes: tuple[quarantine.Crash, ...]


class ExportCrashes(typing.NamedTuple):
    """Ask for the crashes after a position.

    The reply is the crashes and the position after them.
    """

    after: int


class FilterQuarantined(typing.NamedTuple):
    """Ask which of the fingerprints are still quarantined."""

    fingerprints: frozenset[str]


class Expire(typing.NamedTuple):
    """Remove expired entries of the ledger and the quarantine."""


class State:
    """The ledger and the quarantine of one host."""

    def __init__(self, host: str, now_ms: int) -> None:
        self.host = host
        self.ledger = ledger.open_ledger(now_ms)
        self.quarantine = quarantine.open_quarantine()
        self.version = 0


def wall_ms() -> int:
    """Return Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


def start(host: str) -> pykka.ActorRef:
    """Start the actor with an empty ledger of a process that starts now."""
    handler_by_type = {
        RecordIntent: _record_intent,
        ReleaseIntent: _release_intent,
        RecordSent: _record_sent,
        GetRefusalCode: _get_refusal_code,
        StoreResponse: _store_response,
        GetStoredResponse: _get_stored_response,
        HoldersChanged: _update_holders,
        RecordCrash: _record_crash,
        RecordServed: _record_served,
        GetSuspected: _get_suspected,
        MergeCrashes: _merge_crashes,
        ExportCrashes: _export_crashes,
        FilterQuarantined: _filter_quarantined,
        Expire: _expire,
    }
    return actors.start('ledger', State(host, wall_ms()), handler_by_type)


def _record_intent(state: State, message: RecordIntent) -> codes.Code:
    if not ledger.is_current(state.version, message.version):
        return codes.NO_INTENT
    fields = message[:-1]
    return ledger.record_intent(state.ledger, *fields, wall_ms())


def _release_intent(state: State, message: ReleaseIntent) -> bool:
    return ledger.release_intent(state.ledger, *message)


def _record_sent(state: State, message: RecordSent) -> None:
    ledger.record_sent(state.ledger, *message)


def _get_refusal_code(state: State, message: GetRefusalCode) -> codes.Code:
    return ledger.refusal_code(state.ledger, *message)


def _store_response(state: State, message: StoreResponse) -> None:
    ledger.store_response(state.ledger, *message)


def _get_stored_response(
    state: State, message: GetStoredResponse
) -> model.Outcome | None:
    return ledger.stored_response(state.ledger, *message)


def _update_holders(state: State, message: HoldersChanged) -> None:
    now_ms = wall_ms()
    state.version = max(state.version, message.version)
    for slot in message.slots:
        ledger.update_holders(
            state.ledger,
            slot,
            message.old_hosts,
            message.new_hosts,
            state.host,
            now_ms,
            message.adopted,
        )


def _record_crash(state: State, message: RecordCrash) -> tuple[str, ...]:
    return quarantine.record_crash(state.quarantine, *message, wall_ms())


def _record_served(state: State, message: RecordServed) -> None:
    quarantine.record_served(state.quarantine, message.fingerprint, wall_ms())


def _get_suspected(state: State, message: GetSuspected) -> frozenset[str]:
    return quarantine.suspected(state.quarantine)


def _merge_crashes(state: State, message: MergeCrashes) -> tuple[str, ...]:
    return quarantine.merge(state.quarantine, message.crashes, wall_ms())


def _export_crashes(
    state: State, message: ExportCrashes
) -> tuple[tuple[quarantine.Crash, ...], int]:
    return quarantine.export(state.quarantine, message.after)


def _filter_quarantined(
    state: State, message: FilterQuarantined
) -> frozenset[str]:
    now_ms = wall_ms()
    still_quarantined = set()
    for each in message.fingerprints:
        if quarantine.is_quarantined(state.quarantine, each, now_ms):
            still_quarantined.add(each)
    return frozenset(still_quarantined)


def _expire(state: State, message: Expire) -> None:
    now_ms = wall_ms()
    ledger.expire(state.ledger, now_ms)
    quarantine.expire(state.quarantine, now_ms)
