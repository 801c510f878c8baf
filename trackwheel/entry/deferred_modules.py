"""Modules that libraries import at their start but that a box does not use."""

import importlib
import sys
from types import ModuleType
from typing import Any, Final

DEFERRED: Final = ("importlib.metadata", "urllib.request")
"""Loaded at the first use of one of their attributes. `websockets` reads its own version from the
metadata only in development and asks the environment for proxies only where a link may use one."""


def defer_modules() -> None:
    """Put placeholders in place of the modules that are not loaded yet."""
    for name in DEFERRED:
        if name not in sys.modules:
            _defer(name)


def _defer(name: str) -> None:
    placeholder = ModuleType(name)

    def load(attribute: str) -> Any:
        if sys.modules.get(name) is placeholder:
            del sys.modules[name]
        return getattr(importlib.import_module(name), attribute)

    # Called for attributes that the placeholder lacks (PEP 562).
    placeholder.__getattr__ = load  # type: ignore[method-assign]
    sys.modules[name] = placeholder
    package, _, child = name.rpartition(".")
    if package:
        setattr(importlib.import_module(package), child, placeholder)
