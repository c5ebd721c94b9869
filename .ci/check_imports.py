"""Checks the boundaries between packages.

- No package imports a private module of another package.
- No shipped package imports the stand-ins.
- No module exceeds the line limit.
- Terms of the platform occur only in ``platform/``.
"""

import ast
import sys
from collections.abc import Iterator
from pathlib import Path

MAX_LINES = 400
STANDINS = "endivebeam_standins"
PLATFORM_NAMES = (
    "thistlegate",
    "x-server-stamp",
    "x-tenant-id",
    "x-expect-instance",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "virtualhosts",
    "weightedservices",
    "coldlefts",
    "heartbeataddr",
    "endivebeam_settings",
    "non_idempotent",
)


def find_imports(tree: ast.Module) -> Iterator[tuple[int, str]]:
    """Yield the line and the absolute module name of each import."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield node.lineno, alias.name
        elif isinstance(node, ast.ImportFrom) and node.level == 0 and node.module:
            yield node.lineno, node.module


def check_file(path: Path, package: str) -> Iterator[str]:
    """Yield the findings of one source file of a package."""
    text = path.read_text()
    lines = text.count("\n")
    if lines > MAX_LINES:
        yield f"{path}: {lines} lines, more than {MAX_LINES}; split the module"
    for number, content in enumerate(text.lower().splitlines(), start=1):
        for name in PLATFORM_NAMES:
            if name in content:
                yield f"{path}:{number}: names {name!r}, which belongs to platform/"
    for line, name in find_imports(ast.parse(text)):
        root, *rest = name.split(".")
        if not root.startswith("endivebeam_") or root == package:
            continue
        if any(part.startswith("_") for part in rest):
            yield f"{path}:{line}: imports the private module {name}"
        if root == STANDINS:
            yield f"{path}:{line}: a shipped package imports the stand-ins"


def main() -> int:
    """Print all findings; return 1 when there are any."""
    findings: list[str] = []
    for source in sorted(Path("packages").glob("*/src/*")):
        for path in sorted(source.rglob("*.py")):
            findings.extend(check_file(path, source.name))
    for finding in findings:
        print(finding)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
