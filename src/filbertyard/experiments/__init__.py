"""Experiments on real entry hosts with stand-ins; each registers a subcommand."""

from __future__ import annotations

from collections.abc import Callable

EXPERIMENTS: dict[str, Callable[..., int]] = {}


def experiment(name: str) -> Callable[[Callable[..., int]], Callable[..., int]]:
    """Register a subcommand of filbertyard-bench."""

    def register(function: Callable[..., int]) -> Callable[..., int]:
        EXPERIMENTS[name] = function
        return function

    return register
