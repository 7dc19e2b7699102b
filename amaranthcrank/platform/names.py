"""Names of headers, paths and object kinds that the platform uses.

Header names are bytes in lower case, the form in which they are compared.
"""

REQUEST_ID = b'x-request-id'
# The remaining time in milliseconds, not a point in time.
DEADLINE_MS = b'x-request-deadline'
EXPECTED_TARGET = b'x-target-instance'
SIGNATURE = b'x-response-signature'
NOT_RUN = b'x-not-executed'
KEY = b'x-shard-key'
HANDOVER = b'x-handover'
RETRY_AFTER = b'retry-after'
# Set to LEAVING_VALUE in all responses of a target that is leaving.
LEAVING = b'server-leaving'
LEAVING_VALUE = b'1'
# The load and the pace of a target: RUNNING,WAITING,SLOTS[,PACE].
SERVER_LOAD = b'x-server-load'
# How much longer a target is cold, in milliseconds.
WARM_UP_MS = b'x-warmup-ms'

READINESS_PATH = b'/v1/readyz'
GRANT_PATH = '/v1/grant'
RELEASE_PATH = '/v1/release'

SETTINGS_VARIABLE = 'AMARANTHCRANK_SETTINGS'

TARGETS_KIND = 'servers'
TICKET_KIND = 'config'
TICKET_NAME = 'main'
# The name of an object is the failure domain that is evacuated.
EVACUATIONS_KIND = 'evacuations'
# Kinds defined by the router. All objects that every host follows are of one
# kind, so that a single watch suffices. The lease has a kind of its own
# because only candidates for it read it.
SHARED_KIND = 'router-shared'
LEASES_KIND = 'router-leases'
# Prefixes of the names of shared objects.
KEY_MAP_PREFIX = 'keys.'
HOST_PREFIX = 'host.'
