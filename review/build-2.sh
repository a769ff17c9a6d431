#!/usr/bin/env bash
# Builds what the scripts review/6 to review/10 start beside the dispatcher: their stand-ins, in Python, with the
# standard library alone. The dispatcher itself is built by the line `build` of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review/second review/6 review/7 review/8 review/9 review/10
