"""What a process imports before it serves: each module delays a host's return."""

import ast
import json
import subprocess
import sys
from pathlib import Path

import filbertyard

SOURCE = Path(filbertyard.__file__).parent

# Calls that would block all greenlets of a process that is not monkey-patched.
BLOCKING_MODULES = {"threading", "queue", "select", "selectors", "subprocess"}
BLOCKING_CALLS = {("time", "sleep"), ("socket", "socket")} | {
    ("socket", name) for name in ("create_connection", "getaddrinfo")
}


def imported_modules(*statements: str) -> set[str]:
    """Return the modules that a new process has imported after some statements."""
    code = "; ".join(
        [*statements, "import json, sys", "print(json.dumps([*sys.modules]))"]
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    return set(json.loads(result.stdout.splitlines()[-1]))


def host_modules() -> set[str]:
    return imported_modules(
        "import filbertyard.platform.factory",
        "import filbertyard.platform.settings",
        "import filbertyard.gateway.process",
    )


def test_the_help_of_the_gateway_imports_nothing_of_a_host() -> None:
    """Guards against a command line that takes as long to explain as a host to run."""
    found = imported_modules(
        "import sys",
        "sys.argv[1:] = ['--help']",
        "from filbertyard.programs import gateway",
        "exec('try: gateway.main()\\nexcept SystemExit: pass')",
    )
    assert "defopt" in found
    assert not found & {"gevent", "pydantic", "filbertyard.gateway.host"}


def test_a_gateway_host_imports_only_what_it_runs() -> None:
    """Guards against a slow return after the loss of all hosts."""
    found = host_modules()
    assert "filbertyard.gateway.host" in found
    unused = {"defopt", "docutils", "hypothesis", "opentelemetry", "filbertyard.events"}
    assert not found & unused


def test_a_gateway_host_calls_nothing_that_blocks_its_greenlets() -> None:
    """Guards against a stalled host, as its process is not monkey-patched."""
    modules = [name for name in host_modules() if name.startswith("filbertyard.")]
    faults = []
    for name in sorted(modules):
        path = SOURCE.joinpath(*name.split(".")[1:])
        path = path / "__init__.py" if path.is_dir() else path.with_suffix(".py")
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Import(names=names):
                    found = {alias.name for alias in names} & BLOCKING_MODULES
                    faults += [f"{name}: import {module}" for module in found]
                case ast.ImportFrom(module=str(module), level=0):
                    if module in BLOCKING_MODULES:
                        faults.append(f"{name}: from {module}")
                case ast.Call(func=ast.Attribute(value=ast.Name(id=owner), attr=attr)):
                    if (owner, attr) in BLOCKING_CALLS:
                        faults.append(f"{name}: {owner}.{attr}()")
    assert not faults
