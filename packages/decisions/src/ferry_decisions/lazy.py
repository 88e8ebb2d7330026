"""Lazy loading of a package's public names."""

from collections.abc import Callable
import importlib
import sys
import typing


def loader(
    package: str, names: dict[str, list[str]]
) -> Callable[[str], typing.Any]:
    """Returns a `__getattr__` that imports modules on first use.

    Args:
        package: The package's name.
        names: The public names of each of its modules, by module name.
    """
    modules = {
        name: module for module, owned in names.items() for name in owned
    }

    def load(name: str) -> typing.Any:
        """Imports the module of a public name and caches the name's value."""
        if name not in modules:
            raise AttributeError(
                f"module {package!r} has no attribute {name!r}"
            )
        module = importlib.import_module(f"{package}.{modules[name]}")
        value = getattr(module, name)
        setattr(sys.modules[package], name, value)
        return value

    return load
