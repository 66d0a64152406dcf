#!/bin/sh
# Builds the stand-ins: they are Python files that need nothing but the interpreter of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
