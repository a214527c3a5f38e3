#!/bin/sh
# Builds what the cases 6 to 10 start beside the deploy file's programs: the registry and the agent. The stand-ins
# themselves are Python and need no build.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked -p fircroft
