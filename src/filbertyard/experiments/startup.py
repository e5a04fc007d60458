"""Measure the processor time of a process's start, part by part."""

from __future__ import annotations

import os
import statistics
import subprocess
import sys

from . import experiment

# What each part imports or runs beyond the parts before it, in a new interpreter.
PARTS = {
    "interpreter": "",
    "libraries": "import gevent, geventhttpclient, msgpack",
    "validation": "import gevent, geventhttpclient, msgpack, pydantic.main",
    "settings": "import filbertyard.platform.settings",
    "documents": "import filbertyard.platform.documents",
    "gateway_host": (
        "import filbertyard.platform.settings, filbertyard.platform.factory, "
        "filbertyard.gateway.process"
    ),
    "gateway_help": (
        "import sys; sys.argv[1:] = ['--help']; "
        "from filbertyard.programs import gateway; gateway.main()"
    ),
    "entry_host": "import filbertyard.host, filbertyard.hostsettings",
    "entry_help": (
        "import sys; sys.argv[1:] = ['--help']; "
        "from filbertyard.programs import entry; entry.main()"
    ),
}

# All parts are compared with the libraries that no host can do without.
BASELINE = "libraries"


@experiment("startup")
def startup(*, rounds: int = 5) -> int:
    """Compare the processor time of each part of a start with the libraries alone.

    :param rounds: times that each part runs; the parts take turns
    """
    times: dict[str, list[float]] = {name: [] for name in PARTS}
    for _ in range(rounds):
        for name, code in PARTS.items():
            times[name].append(processor_time_s(code))
    baseline_s = statistics.median(times[BASELINE])
    print(f"{'part':<14} {'median ms':>9} {'ratio':>6}")
    for name, values in times.items():
        median_s = statistics.median(values)
        print(f"{name:<14} {median_s * 1000:>9.0f} {median_s / baseline_s:>6.2f}")
    return 0


def processor_time_s(code: str) -> float:
    """Return the processor time of a new interpreter that runs some code."""
    process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.DEVNULL)
    _, _, usage = os.wait4(process.pid, 0)
    return usage.ru_utime + usage.ru_stime
