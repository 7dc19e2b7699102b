"""The bounded queue of frames that wait to be sent to one host.

Small control frames go first, so that a heartbeat waits for one body at most.
Bodies follow by rank, so that urgent requests pass bulk ones. How much of a
link each rank may use is decided before frames are queued, not here.
"""

import collections
from concurrent import futures
import typing

from amaranthcrank.core import model
from amaranthcrank.peers import frames

MAX_CONTROL_FRAMES = 512
MAX_BODY_FRAMES = 2048
MAX_BODY_BYTES = 16 * 1024 * 1024
# Answers have room of their own: requests that this host sends must not
# displace the answers that it owes.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Larger frames of any type wait among the bodies.
MAX_CONTROL_FRAME_BYTES = 64 * 1024
BODY_TYPES = frozenset((frames.REQUEST, frames.ANSWER, frames.CANCEL))


class Item(typing.NamedTuple):
    """An encoded frame.

    Attributes:
      data: The bytes to send.
      frame_id: The id of the call, 0 where there is none.
      future: The future of the call, None where there is none.
      is_reply: Whether the frame answers one.
    """

    data: bytes
    frame_id: int
    future: futures.Future | None
    is_reply: bool = False


class SendQueue:
    """The queue of one link; not safe for several threads by itself."""

    def __init__(self) -> None:
        self.control: collections.deque[Item] = collections.deque()
        self.body_by_rank: dict[str, collections.deque[Item]] = {
            rank: collections.deque() for rank in model.RANKS
        }
        self.body_frames = 0
        self.body_bytes = 0
        self.answer_bytes = 0


def put(waiting: SendQueue, frame: frames.Frame, item: Item) -> bool:
    """Add a frame.

    Returns:
      Whether it was added: False where the queue is full.
    """
    size = len(item.data)
    if frame['type'] not in BODY_TYPES and size <= MAX_CONTROL_FRAME_BYTES:
        if len(waiting.control) >= MAX_CONTROL_FRAMES:
            return False
        waiting.control.append(item)
        return True
    if waiting.body_frames >= MAX_BODY_FRAMES:
        return False
    if item.is_reply:
        if waiting.answer_bytes + size > MAX_ANSWER_BYTES:
            return False
        waiting.answer_bytes += size
    else:
        if waiting.body_bytes + size > MAX_BODY_BYTES:
            return False
        waiting.body_bytes += size
    waiting.body_by_rank[_rank_of(frame)].append(item)
    waiting.body_frames += 1
    return True


def take(waiting: SendQueue) -> Item | None:
    """Remove the frame that goes next, or return None."""
    if waiting.control:
        return waiting.control.popleft()
    for rank in model.RANKS:
        if not waiting.body_by_rank[rank]:
            continue
        item = waiting.body_by_rank[rank].popleft()
        waiting.body_frames -= 1
        if item.is_reply:
            waiting.answer_bytes -= len(item.data)
        else:
            waiting.body_bytes -= len(item.data)
        return item
    return None


def is_empty(waiting: SendQueue) -> bool:
    """Tell whether nothing waits."""
    return not waiting.control and not waiting.body_frames


def _rank_of(frame: frames.Frame) -> str:
    request = frame.get('request')
    inner = request.get('rank') if isinstance(request, dict) else None
    rank = frame.get('rank', inner)
    if rank in model.RANKS:
        return rank
    # A cancellation that does not name its request's rank must not overtake
    # the request, so it goes behind everything.
    return model.BULK if frame['type'] == frames.CANCEL else model.NORMAL
