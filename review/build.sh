#!/bin/sh
# Builds the stand-ins of the cases: they are Python and need nothing but the environment of the deploy file.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
