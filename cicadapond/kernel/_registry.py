"""Registries in which plug-ins register themselves when their module is imported."""

import importlib
import pkgutil
import typing

T = typing.TypeVar("T")


class Registry(typing.Generic[T]):
    """Named implementations of one interface.

    Args:
      kind: What is registered, for error messages, such as "engine adapter".
    """

    def __init__(self, kind: str):
        self.kind = kind
        self._entries: dict[str, typing.Callable[..., T]] = {}

    def register(self, name: str):
        """Returns a decorator that registers a class or factory under `name`.

        Raises:
          ValueError: If another implementation is registered under the name.
        """

        def add(factory):
            existing = self._entries.get(name)
            if existing is not None and existing.__qualname__ != factory.__qualname__:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = factory
            return factory

        return add

    def create(self, name: str, *args, **kwargs) -> T:
        """Builds the implementation registered under `name`.

        Raises:
          LookupError: If there is none; the message lists the names that exist.
        """
        if name not in self._entries:
            raise LookupError(f"unknown {self.kind} {name!r}; known: {', '.join(self.names())}")
        return self._entries[name](*args, **kwargs)

    def names(self) -> list[str]:
        """Returns the registered names, sorted."""
        return sorted(self._entries)


def load_plugins(package: str) -> list[str]:
    """Imports every module of a package except tests, so that its plug-ins register themselves.

    Args:
      package: The dotted name of the package.

    Returns:
      The dotted names of the imported modules.
    """
    root = importlib.import_module(package)
    names = [
        f"{package}.{module.name}"
        for module in pkgutil.iter_modules(root.__path__)
        if not module.name.endswith("_test")
    ]
    for name in names:
        importlib.import_module(name)
    return names
