"""Registries in which plug-ins enter themselves when their module is imported."""

import importlib
import pkgutil
import typing

T = typing.TypeVar("T")


class Registry(typing.Generic[T]):
    """Named implementations of one interface.

    Args:
      kind: What is registered, for messages: "engine adapter", "routing policy".
    """

    def __init__(self, kind: str):
        self.kind = kind
        self._entries: dict[str, typing.Callable[..., T]] = {}

    def register(self, name: str):
        """Returns a decorator that enters a class or factory under `name`.

        Raises:
          ValueError: If the name is taken by another implementation.
        """

        def enter(factory):
            taken = self._entries.get(name)
            if taken is not None and taken.__qualname__ != factory.__qualname__:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = factory
            return factory

        return enter

    def create(self, name: str, *args, **kwargs) -> T:
        """Builds the implementation registered under `name`.

        Raises:
          LookupError: If there is none; the message lists the names that exist.
        """
        if name not in self._entries:
            raise LookupError(f"no {self.kind} {name!r}; there are {', '.join(self.names())}")
        return self._entries[name](*args, **kwargs)

    def names(self) -> list[str]:
        """Returns the registered names, sorted."""
        return sorted(self._entries)


def load_plugins(package: str) -> list[str]:
    """Imports every module of a package, so that its plug-ins register themselves.

    Args:
      package: The dotted name of the package.

    Returns:
      The dotted names of the imported modules.
    """
    root = importlib.import_module(package)
    names = [
        f"{package}.{found.name}"
        for found in pkgutil.iter_modules(root.__path__)
        if not found.name.endswith("_test")
    ]
    for name in names:
        importlib.import_module(name)
    return names
