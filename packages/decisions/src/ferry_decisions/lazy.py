"""Public names of a package that are loaded when they are first used."""

from collections.abc import Callable
import importlib
import sys
import typing


def loader(
    package: str, names: dict[str, list[str]]
) -> Callable[[str], typing.Any]:
    """Returns a package's `__getattr__`.

    Args:
        package: The package's name.
        names: The public names of each of its modules.
    """
    modules = {
        name: module for module, owned in names.items() for name in owned
    }

    def load(name: str) -> typing.Any:
        """Loads the module of a public name, and keeps the name."""
        if name not in modules:
            raise AttributeError(f"{package} has no {name}")
        module = importlib.import_module(f"{package}.{modules[name]}")
        value = getattr(module, name)
        setattr(sys.modules[package], name, value)
        return value

    return load
