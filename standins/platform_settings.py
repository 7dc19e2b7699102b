"""Renders the settings file of a router process, as the platform would."""

import typing

from amaranthcrank.router import model

SERVE_PORT = 18381
READINESS_PORT = 18388
PEER_PORT = 17200
METRICS_PORT = 17201
# Limits of the process, unless a test lowers them.
MAX_DESCRIPTORS = 1000
MEMORY_MB = 300
# How long a draining target may still receive requests.
DRAIN_S = 2.0
# How long after the end of a fault a router must follow the store again.
SETTLE_S = 3.0
# How long targets of an evacuated failure domain may still receive requests.
EVACUATION_S = 5.0
# The longest grant of keys.
MAX_HOLD_MS = 10_000

_TEMPLATE = """\
self.nodeName={name}
self.ip={ip}
self.zone={domain}
self.region=north
self.limits.maxFds={max_descriptors}
self.limits.memoryMb={memory_mb}
network.listen.front={ip}:18381
network.listen.readiness={ip}:18388
network.internalPorts=17200,17215
network.zones.a=north
network.zones.b=north
platform.heartbeatMs=500
platform.platform.address={store}
terms.bounds.drainMs={drain_ms}
terms.bounds.graceS=6
terms.bounds.stableWindowMs={settle_ms}
terms.bounds.retryBudgetRatio=0.2
terms.bounds.budgetWindowS=10
terms.bounds.budgetMinRetries=60
terms.bounds.holdMaxMs={max_hold_ms}
terms.bounds.evacMs={evacuation_ms}
"""


class RouterConfig(typing.NamedTuple):
    """The settings in which routers differ.

    Attributes:
      name: The host id.
      ip: The address that the router listens on.
      domain: The failure domain, `a` or `b`.
      store: The address of the store.
      max_descriptors: The limit of open descriptors.
      memory_mb: The memory that the router may use, in MiB.
    """

    name: str
    ip: str
    domain: str
    store: model.Address
    max_descriptors: int = MAX_DESCRIPTORS
    memory_mb: int = MEMORY_MB


def serve_address(ip: str) -> model.Address:
    """Return the address for callers of a router."""
    return model.Address(ip, SERVE_PORT)


def render(config: RouterConfig, comment: str) -> str:
    """Return the content of the file; the comment changes only the text."""
    fields = config._asdict()
    fields['store'] = f'{config.store.ip}:{config.store.port}'
    fields['drain_ms'] = round(DRAIN_S * 1000)
    fields['evacuation_ms'] = round(EVACUATION_S * 1000)
    fields['max_hold_ms'] = MAX_HOLD_MS
    fields['settle_ms'] = round(SETTLE_S * 1000)
    return _TEMPLATE.format(**fields) + f'# {comment}\n'
