"""Records what was sent, answered, run and held, and checks who held keys."""

import pathlib
import time
import typing

KEYS = 65536
# The rule counts keys that two targets hold for longer than this.
MAX_SHARED_S = 0.5


class Span(typing.NamedTuple):
    """Keys held by one life of a target."""

    target: str
    first: int
    last: int
    fence: int
    since: float
    until: float


class Record:
    """Lines of record.txt, and the spans in which targets held keys.

    Attributes:
      began_at: The start, in monotonic seconds.
      spans: Which life of a target held which keys, and when.
      served: How many requests were answered with success.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self.began_at = time.monotonic()
        self.spans: list[Span] = []
        self.served = 0

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def add(self, what: str, /, **fields: typing.Any) -> None:
        """Write a line."""
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        print(f'{self.now():9.3f} {what} {text}', file=self._file)

    def close(self) -> None:
        """Write the rest of the file."""
        self._file.close()

    def hold_begin(self, target, hold, now: float) -> None:
        """Record a grant; an earlier span of the same keys goes on in it."""
        name = f'{target.target_id}/{target.born}'
        for index, span in enumerate(self.spans):
            if span.target != name or span.until <= now:
                continue
            if span.fence != hold.fence:
                continue
            if span.first == hold.first and span.last == hold.last:
                self.spans[index] = span._replace(until=hold.until)
                return
        self.spans.append(
            Span(name, hold.first, hold.last, hold.fence, now, hold.until)
        )

    def hold_end(self, target, hold, now: float) -> None:
        """Record that a target has ended and holds nothing any more."""
        self.hold_cut(target, hold.first, hold.last, now)

    def hold_cut(self, target, first: int, last: int, now: float) -> None:
        """Record that a target holds some keys no longer."""
        name = f'{target.target_id}/{target.born}'
        spans = []
        for span in self.spans:
            low, high = max(first, span.first), min(last, span.last)
            if span.target != name or span.until <= now or low > high:
                spans.append(span)
                continue
            spans.append(span._replace(first=low, last=high, until=now))
            if span.first < low:
                spans.append(span._replace(last=low - 1))
            if high < span.last:
                spans.append(span._replace(first=high + 1))
        self.spans = spans

    def shared(self) -> list[tuple[Span, Span, float]]:
        """Return pairs of spans in which two targets held a key too long."""
        now = time.monotonic()
        found = []
        ordered = sorted(self.spans, key=lambda span: span.since)
        for index, one in enumerate(ordered):
            for other in ordered[index + 1 :]:
                if other.since >= one.until:
                    continue
                if one.target == other.target:
                    continue
                if one.last < other.first or other.last < one.first:
                    continue
                end = min(one.until, other.until, now)
                shared_s = end - max(one.since, other.since)
                if shared_s > MAX_SHARED_S:
                    found.append((one, other, shared_s))
        return found
