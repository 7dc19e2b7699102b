"""The bounded queue of frames to be sent to one host.

Small control frames are sent first, so that a heartbeat waits for one body at
most. Bodies follow by rank, so that urgent requests overtake bulk requests.
The share of a link that each rank may use is enforced by admission, before
frames are queued.
"""

import collections
from concurrent import futures
import typing

from amaranthcrank.core import model
from amaranthcrank.peers import frames

MAX_CONTROL_FRAMES = 512
MAX_BODY_FRAMES = 2048
MAX_BODY_BYTES = 16 * 1024 * 1024
# Replies have a separate bound: requests that this host sends must not
# displace its replies to requests of others.
MAX_REPLY_BYTES = 16 * 1024 * 1024
# Larger frames of any type are queued with the bodies.
MAX_CONTROL_FRAME_BYTES = 64 * 1024
BODY_TYPES = frozenset((frames.REQUEST, frames.ANSWER, frames.CANCEL))


class Item(typing.NamedTuple):
    """An encoded frame.

    Attributes:
      data: The bytes to send.
      frame_id: The id of the call, 0 if the frame is not a call.
      future: The future of the call, None if the frame is not a call.
      is_reply: Whether the frame is the reply to another one.
    """

    data: bytes
    frame_id: int
    future: futures.Future | None
    is_reply: bool = False


class SendQueue:
    """The queue of one link; not thread-safe."""

    def __init__(self) -> None:
        self.control: collections.deque[Item] = collections.deque()
        self.body_by_rank: dict[str, collections.deque[Item]] = {
            rank: collections.deque() for rank in model.RANKS
        }
        self.body_frames = 0
        self.body_bytes = 0
        self.reply_bytes = 0


def put(queue: SendQueue, frame: frames.Frame, item: Item) -> bool:
    """Add a frame.

    Returns:
      Whether it was added; False if the queue is full.
    """
    size = len(item.data)
    if frame['type'] not in BODY_TYPES and size <= MAX_CONTROL_FRAME_BYTES:
        if len(queue.control) >= MAX_CONTROL_FRAMES:
            return False
        queue.control.append(item)
        return True
    if queue.body_frames >= MAX_BODY_FRAMES:
        return False
    if item.is_reply:
        if queue.reply_bytes + size > MAX_REPLY_BYTES:
            return False
        queue.reply_bytes += size
    else:
        if queue.body_bytes + size > MAX_BODY_BYTES:
            return False
        queue.body_bytes += size
    queue.body_by_rank[_rank_of(frame)].append(item)
    queue.body_frames += 1
    return True


def take(queue: SendQueue) -> Item | None:
    """Remove and return the next frame, or None if the queue is empty."""
    if queue.control:
        return queue.control.popleft()
    for rank in model.RANKS:
        if not queue.body_by_rank[rank]:
            continue
        item = queue.body_by_rank[rank].popleft()
        queue.body_frames -= 1
        if item.is_reply:
            queue.reply_bytes -= len(item.data)
        else:
            queue.body_bytes -= len(item.data)
        return item
    return None


def is_empty(queue: SendQueue) -> bool:
    """Return whether the queue is empty."""
    return not queue.control and not queue.body_frames


def _rank_of(frame: frames.Frame) -> str:
    request = frame.get('request')
    inner = request.get('rank') if isinstance(request, dict) else None
    rank = frame.get('rank', inner)
    if rank in model.RANKS:
        return rank
    # A cancellation without the rank of its request must not overtake the
    # request, so it is queued behind all other frames.
    return model.BULK if frame['type'] == frames.CANCEL else model.NORMAL
