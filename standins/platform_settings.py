"""Writes the settings file of a router process, as the platform would."""

import typing

from amaranthcrank.router import model

SERVE_PORT = 18381
# How long a target that leaves may still get requests.
DRAIN_S = 2.0
# How long after a disturbance a router must act by the store again.
SETTLE_S = 3.0

_TEMPLATE = """\
self.nodeName={name}
self.ip={ip}
self.zone={domain}
self.region=north
self.limits.maxFds=1000
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
terms.bounds.holdMaxMs=10000
"""


class RouterConfig(typing.NamedTuple):
    """Where a router runs.

    Attributes:
      name: Its host id.
      ip: Its address.
      domain: Its failure domain, `a` or `b`.
      store: Where it reaches the store.
    """

    name: str
    ip: str
    domain: str
    store: model.Address


def serve_address(ip: str) -> model.Address:
    """Return where callers connect to a router."""
    return model.Address(ip, SERVE_PORT)


def render(place: RouterConfig, note: str) -> str:
    """Return the whole file, with a comment that makes it differ."""
    fields = place._asdict()
    fields['store'] = f'{place.store.ip}:{place.store.port}'
    fields['drain_ms'] = round(DRAIN_S * 1000)
    fields['settle_ms'] = round(SETTLE_S * 1000)
    return _TEMPLATE.format(**fields) + f'# {note}\n'
