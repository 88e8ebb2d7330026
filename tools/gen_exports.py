"""Writes the `__init__.py` of the decisions package: its public names.

Usage: gen_exports.py PACKAGE_DIR ALIAS. A name is exported when another
package or a test uses it through the alias, so that the surface stays small.
The docstring of the file is kept.
"""

import ast
import pathlib
import re
import sys


def public_names(path: pathlib.Path) -> list[str]:
    """Returns the public names that a module defines, sorted."""
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
    """Returns the names that others use through the alias."""
    pattern = re.compile(rf"\b{alias}\.(\w+)")
    used: set[str] = set()
    packages = package.parents[2]
    adapter = packages.parent / "platform"
    users = [*packages.glob("*/src/**/*.py"), *adapter.glob("**/*.py")]
    for path in users:
        if path.parent != package:
            used |= set(pattern.findall(path.read_text()))
    return used


def main() -> None:
    """Rewrites one `__init__.py`."""
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
    lines = [f'"""{doc}"""', ""]
    for name, module in sorted(owners.items(), key=lambda i: (i[1], i[0])):
        lines.append(f"from {package.name}.{module} import {name}")
    lines += ["", "__all__ = ["]
    lines += [f'    "{name}",' for name in sorted(owners)]
    lines += ["]", ""]
    init.write_text("\n".join(lines))


if __name__ == "__main__":
    main()
