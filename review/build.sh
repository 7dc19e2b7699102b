#!/bin/sh
# Prepares what the scripts start beside the routers. All of it is Python and
# runs in the scripts' own process; the libraries are those of the deploy
# file's build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c '
from review.common import caller, deployment, keyed, target
from soak import relay
from standins import platform_store
'
