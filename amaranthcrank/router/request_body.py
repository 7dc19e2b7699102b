"""Collects the body of a request, within the memory limits.

A long body is read only once memory is reserved for it. Until then nothing
more is read from the caller's connection.
"""

import asyncio
import typing

import h11

from amaranthcrank.router import body_rate
from amaranthcrank.router import headers as header_fields
from amaranthcrank.router import upload_budget

# How long a long body may wait for memory before its request is rejected.
# Callers give up on a request that is not read for a second.
MAX_WAIT_S = 0.8


class RequestBody:
    """The body of the request that a connection receives or handles.

    Attributes:
      rate: Measures how fast it arrives.
    """

    def __init__(
        self,
        uploads: upload_budget.UploadBudget,
        pause: typing.Callable[[], None],
        resume: typing.Callable[[], None],
        reject: typing.Callable[[], None],
    ) -> None:
        """Start without a request.

        Args:
          uploads: The memory that all connections share.
          pause: Called when the body has to wait for memory.
          resume: Called when it need not wait any more.
          reject: Called when it has waited for too long.
        """
        self._uploads = uploads
        self._pause = pause
        self._resume = resume
        self._reject = reject
        self.rate = body_rate.BodyRate()
        self._data = bytearray()
        self._announced_bytes = 0
        self._max_bytes = 0
        self._has_reserved = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the body waits for memory."""
        return self._timer is not None

    def needs_reservation(self, event: typing.Any) -> bool:
        """Return whether an event makes the body a long one.

        Args:
          event: The next event of the request.
        """
        if isinstance(event, h11.Request):
            length = header_fields.find(list(event.headers), b'content-length')
            size = 0 if length is None else int(length)
        elif isinstance(event, h11.Data) and not self._has_reserved:
            size = len(self._data) + len(event.data)
        else:
            return False
        return size > upload_budget.MAX_UNRESERVED_BYTES

    def begin(self, head: h11.Request, max_bytes: int) -> None:
        """Begin the body of a request.

        Args:
          head: The request's method, target and headers.
          max_bytes: The limit of its length.

        Raises:
          RemoteProtocolError: It announces a longer body.
        """
        self._data = bytearray()
        self.rate.restart(asyncio.get_running_loop().time())
        self._max_bytes = max_bytes
        length = header_fields.find(list(head.headers), b'content-length')
        self._announced_bytes = 0 if length is None else int(length)
        self._check_size(self._announced_bytes)

    def add(self, data: bytes | bytearray) -> None:
        """Add received data.

        Raises:
          RemoteProtocolError: The body is too long.
        """
        self._data += data
        self.rate.add(len(data))
        self._check_size(len(self._data))

    def take(self) -> bytes | bytearray:
        """Return the complete body, whose memory stays reserved."""
        self._stop_waiting()
        data = self._data
        self._data = bytearray()
        if len(data) > upload_budget.MAX_UNRESERVED_BYTES:
            return data
        return bytes(data)

    def release(self) -> None:
        """Discard the body and give up its memory."""
        self._stop_waiting()
        self._data = bytearray()
        if self._has_reserved:
            self._has_reserved = False
            self._uploads.release(self)

    def _check_size(self, size: int) -> None:
        if size > self._max_bytes:
            raise h11.RemoteProtocolError('body too long', 413)
        if size <= upload_budget.MAX_UNRESERVED_BYTES or self._has_reserved:
            return
        self._has_reserved = True
        # The length of a chunked body is not known before its end.
        reserved_bytes = self._announced_bytes or self._max_bytes
        if self._uploads.reserve(self, reserved_bytes, self._on_reserved):
            return
        self._timer = asyncio.get_running_loop().call_later(
            MAX_WAIT_S, self._on_timeout
        )
        self._pause()

    def _on_reserved(self) -> None:
        self._stop_waiting()
        self.rate.restart(asyncio.get_running_loop().time())
        self._resume()

    def _on_timeout(self) -> None:
        self.release()
        self._reject()

    def _stop_waiting(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
