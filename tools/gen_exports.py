"""Writes each package's `__init__.py`: the public names of its modules.

Usage: gen_exports.py PACKAGE_DIR. A public name is a class, a function or a
constant without a leading underscore. The docstring of the file is kept.
"""

import ast
import pathlib
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


def main() -> None:
    """Rewrites one `__init__.py`."""
    package = pathlib.Path(sys.argv[1])
    init = package / "__init__.py"
    doc = ast.get_docstring(ast.parse(init.read_text())) or ""
    owners: dict[str, str] = {}
    for path in sorted(package.glob("_*.py")):
        if path.name != "__init__.py":
            for name in public_names(path):
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
