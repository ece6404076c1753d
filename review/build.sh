#!/usr/bin/env bash
# Checks that the stand-ins, which need nothing but Python 3.11, can be compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX=$folder python3 -m compileall -q review
