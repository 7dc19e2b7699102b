#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. They are Python
# programs of the standard library in review/common-2, so compiling them only
# shows that they are complete. Nothing of the project's own stand-ins is used.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target || exit 2
PYTHONPYCACHEPREFIX="$PWD/target/review-2" exec python3 -m compileall -q \
    review/common-2 review/[6-9] $([ -d review/10 ] && echo review/10)
