"""Registries of interchangeable policies, populated by decorators."""

from collections.abc import Callable
import typing

T = typing.TypeVar("T")


class UnknownPolicyError(LookupError):
    """A setting names a policy that is not registered."""


class Registry(typing.Generic[T]):
    """Maps names used in settings to factories of one kind of policy."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._factories: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers a factory under `name`."""

        def add(factory: T) -> T:
            self._factories[name] = factory
            return factory

        return add

    def get(self, name: str) -> T:
        """Returns the factory registered under `name`.

        Raises:
            UnknownPolicyError: No factory has this name.
        """
        if name not in self._factories:
            known = ", ".join(sorted(self._factories))
            raise UnknownPolicyError(
                f"{self._kind}: {name!r} is not one of {known}"
            )
        return self._factories[name]

    def names(self) -> list[str]:
        """Returns the registered names, sorted."""
        return sorted(self._factories)
