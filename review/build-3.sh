#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are plain Python without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins_3/*.py
