"""Run load, fault and cost experiments on stand-ins."""

from gevent import monkey

monkey.patch_all()

import importlib
import pkgutil
import sys

import defopt

from .. import experiments


def main() -> None:
    """Run the command line."""
    for module in pkgutil.iter_modules(experiments.__path__):
        importlib.import_module(f"{experiments.__name__}.{module.name}")
    sys.exit(defopt.run(experiments.EXPERIMENTS))
