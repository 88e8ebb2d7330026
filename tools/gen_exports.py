"""Generates the `__init__.py` of the decisions package from its public names.

Usage: gen_exports.py PACKAGE_DIR ALIAS. A name is exported only if another
package or a test uses it through the alias, which keeps the interface small.
The docstring of the file is preserved. Each module is loaded when one of its
names is first used, because a node on the platform needs a third of them.
"""

import ast
from collections.abc import Iterator
import itertools
import pathlib
import re
import sys

LOADER_PACKAGE = "ferry_decisions"
LOADER_MODULE = "lazy"


def public_names(path: pathlib.Path) -> list[str]:
    """Returns the sorted public names that a module defines."""
    names = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef):
            names.add(node.name)
        elif isinstance(node, ast.Assign | ast.AnnAssign):
            targets = (
                node.targets if isinstance(node, ast.Assign) else [node.target]
            )
            names |= {t.id for t in targets if isinstance(t, ast.Name)}
    return sorted(n for n in names if not n.startswith("_") and len(n) > 1)


def used_names(package: pathlib.Path, alias: str) -> set[str]:
    """Returns the names that code outside the package uses by the alias."""
    pattern = re.compile(rf"\b{alias}\.(\w+)")
    used: set[str] = set()
    packages = package.parents[2]
    adapter = packages.parent / "platform"
    users = [*packages.glob("*/src/**/*.py"), *adapter.glob("**/*.py")]
    for path in users:
        if path.parent != package:
            used |= set(pattern.findall(path.read_text()))
    return used


def init_lines(package: str, doc: str, owners: dict[str, str]) -> list[str]:
    """Returns the lines of a package's `__init__.py`.

    Args:
        package: Name of the package.
        doc: Docstring of the package.
        owners: Module that defines each public name.
    """
    by_module = sorted(owners.items(), key=lambda i: (i[1], i[0]))
    return [
        f'"""{doc}"""',
        "",
        "import typing",
        "",
        f"from {LOADER_PACKAGE} import {LOADER_MODULE}",
        "",
        "if typing.TYPE_CHECKING:",
        *(f"    from {package}.{m} import {n} as {n}" for n, m in by_module),
        "",
        "_NAMES = {",
        *_rows(by_module),
        "}",
        "__all__ = sorted(n for names in _NAMES.values() for n in names)",
        "",
        "# Otherwise the type checker would accept any name.",
        "if not typing.TYPE_CHECKING:",
        f"    __getattr__ = {LOADER_MODULE}.loader(__name__, _NAMES)",
        "",
    ]


def _rows(by_module: list[tuple[str, str]]) -> Iterator[str]:
    """Yields one entry per module, which holds its public names."""
    for module, owned in itertools.groupby(by_module, lambda i: i[1]):
        names = " ".join(name for name, _ in owned)
        yield f'    "{module}": "{names}".split(),'


def main() -> None:
    """Rewrites the `__init__.py` of the given package."""
    package = pathlib.Path(sys.argv[1]).resolve()
    used = used_names(package, sys.argv[2])
    init = package / "__init__.py"
    doc = ast.get_docstring(ast.parse(init.read_text())) or ""
    owners: dict[str, str] = {}
    for path in sorted(package.glob("_*.py")):
        if path.name != "__init__.py":
            for name in public_names(path):
                if name in used:
                    owners.setdefault(name, path.stem)
    init.write_text("\n".join(init_lines(package.name, doc, owners)))


if __name__ == "__main__":
    main()
