"""The actor that owns the ledger and the quarantine of one host."""

import time
import typing

import pykka

from amaranthcrank.core import actors
from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.dispatch import ledger
from amaranthcrank.dispatch import quarantine


class NoteIntent(typing.NamedTuple):
    """Note an intent; answered with its code, NO_INTENT if not current.

    Attributes:
      request_id: The id.
      issued_at_ms: Its time of issue.
      slot: The hash slot.
      token: Names the attempt.
      version: The record version of the dispatching host.
    """

    request_id: str
    issued_at_ms: int
    slot: model.SlotId
    token: str
    version: int


class ReleaseIntent(typing.NamedTuple):
    """Drop the intent of an attempt that never ran."""

    request_id: str
    token: str


class NoteSent(typing.NamedTuple):
    """Remember that this host is about to send an id."""

    request_id: str
    issued_at_ms: int
    token: str


class RefusalCode(typing.NamedTuple):
    """Ask which code a refusal of an id has to carry."""

    request_id: str
    token: str
    code: codes.Code


class StoreAnswer(typing.NamedTuple):
    """Keep a served answer."""

    request_id: str
    digest: str
    answer: model.Outcome


class FindAnswer(typing.NamedTuple):
    """Ask for a kept answer; answered with it or None."""

    request_id: str
    digest: str


class HoldersChanged(typing.NamedTuple):
    """The hosts of the cell changed for some slots.

    Attributes:
      version: The record version that this host takes up with it.
      slots: The slots.
      old_hosts: The hosts before, empty for slots that the cell gained.
      new_hosts: The hosts now.
      adopted: Whether the version is known to be adopted.
    """

    version: int
    slots: tuple[model.SlotId, ...]
    old_hosts: tuple[str, ...]
    new_hosts: tuple[str, ...]
    adopted: bool


class NoteCrash(typing.NamedTuple):
    """Count a crash; answered with newly quarantined fingerprints."""

    event: str
    fingerprints: tuple[str, ...]


class NoteServed(typing.NamedTuple):
    """Drop the counts of a request that was served."""

    fingerprint: str


class Suspected(typing.NamedTuple):
    """Ask for the fingerprints that have counts."""


class MergeCrashes(typing.NamedTuple):
    """Take counts of a peer; answered with newly quarantined ones."""

    crashes: tuple[quarantine.Crash, ...]


class ExportCrashes(typing.NamedTuple):
    """Ask for counts after a position; answered with (counts, position)."""

    after: int


class Quarantined(typing.NamedTuple):
    """Ask which of some fingerprints are still refused."""

    fingerprints: frozenset[str]


class Expire(typing.NamedTuple):
    """Drop what is too old."""


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
    """Start the actor with an empty ledger that begins now."""
    handler_by_type = {
        NoteIntent: _note_intent,
        ReleaseIntent: _release_intent,
        NoteSent: _note_sent,
        RefusalCode: _refusal_code,
        StoreAnswer: _store_answer,
        FindAnswer: _find_answer,
        HoldersChanged: _holders_changed,
        NoteCrash: _note_crash,
        NoteServed: _note_served,
        Suspected: _suspected,
        MergeCrashes: _merge_crashes,
        ExportCrashes: _export_crashes,
        Quarantined: _quarantined,
        Expire: _expire,
    }
    return actors.start('ledger', State(host, wall_ms()), handler_by_type)


def _note_intent(state: State, message: NoteIntent) -> codes.Code:
    if not ledger.is_current(state.version, message.version):
        return codes.NO_INTENT
    fields = message[:-1]
    return ledger.note_intent(state.ledger, *fields, wall_ms())


def _release_intent(state: State, message: ReleaseIntent) -> bool:
    return ledger.release_intent(state.ledger, *message)


def _note_sent(state: State, message: NoteSent) -> None:
    ledger.note_sent(state.ledger, *message)


def _refusal_code(state: State, message: RefusalCode) -> codes.Code:
    return ledger.refusal_code(state.ledger, *message)


def _store_answer(state: State, message: StoreAnswer) -> None:
    ledger.store_answer(state.ledger, *message)


def _find_answer(state: State, message: FindAnswer) -> model.Outcome | None:
    return ledger.stored_answer(state.ledger, *message)


def _holders_changed(state: State, message: HoldersChanged) -> None:
    now_ms = wall_ms()
    state.version = max(state.version, message.version)
    for slot in message.slots:
        ledger.holders_changed(
            state.ledger,
            slot,
            message.old_hosts,
            message.new_hosts,
            state.host,
            now_ms,
            message.adopted,
        )


def _note_crash(state: State, message: NoteCrash) -> tuple[str, ...]:
    return quarantine.note_crash(state.quarantine, *message, wall_ms())


def _note_served(state: State, message: NoteServed) -> None:
    quarantine.note_served(state.quarantine, message.fingerprint, wall_ms())


def _suspected(state: State, message: Suspected) -> frozenset[str]:
    return quarantine.suspected(state.quarantine)


def _merge_crashes(state: State, message: MergeCrashes) -> tuple[str, ...]:
    return quarantine.merge(state.quarantine, message.crashes, wall_ms())


def _export_crashes(
    state: State, message: ExportCrashes
) -> tuple[tuple[quarantine.Crash, ...], int]:
    return quarantine.export(state.quarantine, message.after)


def _quarantined(state: State, message: Quarantined) -> frozenset[str]:
    now_ms = wall_ms()
    still = set()
    for each in message.fingerprints:
        if quarantine.is_quarantined(state.quarantine, each, now_ms):
            still.add(each)
    return frozenset(still)


def _expire(state: State, message: Expire) -> None:
    now_ms = wall_ms()
    ledger.expire(state.ledger, now_ms)
    quarantine.expire(state.quarantine, now_ms)
