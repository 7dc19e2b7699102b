"""Long-lived links to the other hosts."""

from collections import abc
from concurrent import futures
import contextlib

from amaranthcrank.core import codes
from amaranthcrank.peers import frames

OnFrame = abc.Callable[[str, frames.Frame], None]


class LinkError(Exception):
    """The result of a call whose answer cannot come any more.

    Attributes:
      problem: The numbered reason.
      sent: Whether any part of the frame can have reached the peer.
    """

    def __init__(self, problem: codes.Problem, sent: bool):
        super().__init__(f'{problem.code.number} {problem.detail}')
        self.problem = problem
        self.sent = sent


class Links:
    """The links of one host; use the functions of this module."""


def open_links(
    stack: contextlib.ExitStack,
    host_id: str,
    address: tuple[str, int],
    keys: abc.Sequence[bytes],
    on_frame: OnFrame,
    known_hosts: abc.Mapping[str, tuple[str, int]],
) -> Links:
    """Listen for peers and dial the known ones until the stack closes.

    Args:
      stack: Closes every link when it closes.
      host_id: The id of this host.
      address: Host and port to listen on; port 0 picks a free one.
      keys: The cluster keys; the first proves, any is accepted.
      on_frame: Called with (host, frame) on the receiving thread for each
        frame that is not an answer; must be quick.
      known_hosts: The address of each peer by host id.

    Returns:
      The links.
    """
    raise NotImplementedError


def bound_address(links: Links) -> tuple[str, int]:
    """Tell where the links listen."""
    raise NotImplementedError


def set_hosts(
    links: Links, address_by_host: abc.Mapping[str, tuple[str, int]]
) -> None:
    """Replace the known hosts.

    Links to hosts that are no longer named are closed; a changed address is
    dialled at once.
    """
    raise NotImplementedError


def send(links: Links, host: str, frame: frames.Frame) -> bool:
    """Queue a one-way frame; never blocks.

    Returns:
      Whether it was queued: False where the host is not linked or its queue
      is full.
    """
    raise NotImplementedError


def call(links: Links, host: str, frame: frames.Frame) -> futures.Future:
    """Queue a frame that is answered; never blocks.

    Returns:
      A future of the answering frame. It fails with a LinkError when the
      host is not linked, its queue is full or the link breaks.
    """
    raise NotImplementedError


def reply(links: Links, host: str, frame_id: int, frame: frames.Frame) -> bool:
    """Queue the answer to a received frame; never blocks.

    Returns:
      Whether it was queued: False where the connection that the frame came
      on is gone or its queue is full.
    """
    raise NotImplementedError


def connected(links: Links) -> frozenset[str]:
    """Tell to which hosts frames can be sent now."""
    raise NotImplementedError
