"""Read and change settings, and query the recorded events of the fleet."""

from gevent import monkey

monkey.patch_all()

import os
import sys
import typing as t

import defopt

from .. import ctlsettingsqueries as ctlsettingsqueries
from ..ctlclient import EXIT_BROKEN_PIPE
from ..ctlclient import fail
from ..ctlcommands import COMMANDS
from ..ctlqueries import QUERIES
from ..exceptions import FilbertyardError


def run() -> t.Any:
    """Run the command line and return the exit status."""
    try:
        return defopt.run([*QUERIES, *COMMANDS], short={"reason": "m"})
    except FilbertyardError as error:
        return fail(error)
    finally:
        sys.stdout.flush()


def main() -> None:
    """Run the command line and exit."""
    try:
        status = run()
    except BrokenPipeError:
        # The interpreter flushes standard output again on exit, which would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        status = EXIT_BROKEN_PIPE
    sys.exit(status)
