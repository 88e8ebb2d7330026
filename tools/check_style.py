"""Checks the rules of the code style for which the linter has no rule.

Usage: check_style.py. Prints one line per finding and exits with 1 if there
are any.
"""

import ast
from collections.abc import Iterator
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_LINES = 400
BANNED = frozenset(
    {"asyncio", "multiprocessing", "subprocess", "mmap", "dataclasses"}
)
NAME_IMPORTS_ALLOWED = frozenset({"typing", "collections.abc"})
CODEC = "pygwire"
CODEC_MODULE = "_wire.py"
FLOW_STARTERS = frozenset({"decisions.start", "_flows.start"})
STANDINS = "ferry_standins"
STANDIN_USERS = frozenset({"ferry_ctl", "ferry_standins"})


def is_test(path: pathlib.Path) -> bool:
    """Returns whether a file belongs to the tests."""
    return "tests" in path.parts


def module_names() -> frozenset[str]:
    """Returns the names of all modules in the workspace."""
    return frozenset(p.stem for p in ROOT.glob("packages/*/src/**/*.py"))


def import_findings(
    path: pathlib.Path, tree: ast.Module, modules: frozenset[str]
) -> Iterator[str]:
    """Yields the violations in a file's imports."""
    package = path.relative_to(ROOT / "packages").parts[2]
    for node in ast.walk(tree):
        imported: list[str] = []
        if isinstance(node, ast.Import):
            imported = [a.name for a in node.names]
        elif isinstance(node, ast.ImportFrom):
            imported = [node.module or ""]
            is_own_package = (node.module or "").startswith("ferry_")
            allowed = node.module in NAME_IMPORTS_ALLOWED
            for alias in node.names:
                is_module = alias.name in modules or alias.name == "tests"
                is_class_name = alias.name[:1].isupper()
                if not allowed and (
                    (is_own_package and not is_module) or is_class_name
                ):
                    yield f"{path}:{node.lineno} imports the name {alias.name}"
        for name in imported:
            top = name.split(".")[0]
            if top in BANNED:
                yield f"{path}: imports {top}"
            if top == CODEC and path.name != CODEC_MODULE:
                yield f"{path}: only {CODEC_MODULE} may use {CODEC}"
            is_shipped = package not in STANDIN_USERS and not is_test(path)
            if top == STANDINS and is_shipped:
                yield f"{path}: shipped code uses the stand-ins"


def dropped_flows(path: pathlib.Path, tree: ast.Module) -> Iterator[str]:
    """Yields the flows whose future is dropped, and their errors with it."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Expr) or not isinstance(
            node.value, ast.Call
        ):
            continue
        if ast.unparse(node.value.func) in FLOW_STARTERS:
            yield f"{path}:{node.lineno} starts a flow that nobody waits for"


def findings() -> Iterator[str]:
    """Yields all findings in the workspace."""
    modules = module_names()
    for path in sorted(ROOT.glob("packages/*/src/**/*.py")):
        text = path.read_text()
        tree = ast.parse(text)
        if len(text.splitlines()) > MAX_LINES and not is_test(path):
            yield f"{path}: more than {MAX_LINES} lines"
        if path.name == "__init__.py":
            continue
        if ast.get_docstring(tree) is None and not is_test(path):
            yield f"{path}: no doc comment"
        yield from import_findings(path, tree, modules)
        if not is_test(path):
            yield from dropped_flows(path, tree)


def main() -> int:
    """Prints all findings and returns the exit code."""
    found = list(findings())
    for line in found:
        print(line)
    print(f"{len(found)} findings of house style")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
