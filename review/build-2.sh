#!/usr/bin/env bash
# Compiles every stand-in that the scripts of the second review start: they are Python modules.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib
import sys

modules = [
    *pathlib.Path("review/lib-2").glob("*.py"),
    *pathlib.Path("review").glob("[6-9]/*.py"),
    *pathlib.Path("review").glob("10/*.py"),
    *pathlib.Path("tests/platform_soak").glob("*.py"),
    pathlib.Path("tests/process/programs.py"),
]
for module in modules:
    compile(module.read_text(encoding="utf-8"), str(module), "exec")
print(f"{len(modules)} modules compiled")
if not pathlib.Path("target/daemon/endiveusherd").exists():
    sys.exit("target/daemon/endiveusherd is missing: build as deploy/system.toml says")
PYTHON
