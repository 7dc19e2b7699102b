"""Divides the loopback addresses among soaks that run at the same time."""

import contextlib
import os
import socket

# Each soak uses one of the networks 127.x from this x on.
FIRST_NETWORK = 10
NETWORK_COUNT = 200
# The address within a network that its user listens on.
_CLAIM_HOST = '1.2'
_CLAIM_PORT = 18399


def claim(stack: contextlib.AsyncExitStack, seed: int) -> str:
    """Return the first half of the addresses of a network that is not in use.

    Args:
      stack: Gives the network back.
      seed: Soaks of different seeds try different networks first.

    Raises:
      OSError: All networks are in use.
    """
    first = seed + os.getpid()
    for number in range(first, first + NETWORK_COUNT):
        network = f'127.{FIRST_NETWORK + number % NETWORK_COUNT}'
        sock = socket.socket()
        try:
            sock.bind((f'{network}.{_CLAIM_HOST}', _CLAIM_PORT))
        except OSError:
            sock.close()
            continue
        stack.callback(sock.close)
        return network
    raise OSError('all networks of the soak are in use')
