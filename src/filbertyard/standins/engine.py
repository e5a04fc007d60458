"""Stand-in for a model engine: slots, continuous batching, orders, delayed reports."""

from __future__ import annotations

import itertools
import json
import time
import uuid
import zlib
from collections import deque
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import gevent
from gevent.event import Event

from ..exceptions import UpstreamError
from ..httpcalls import create_http_peer
from .web import Environ
from .web import Faults
from .web import Standin
from .web import StartResponse
from .web import break_connection
from .web import read_json
from .web import send_json

LOAD_TIMEOUT_S = 10.0


@dataclass(slots=True)
class EngineParameters:
    """Speed and limits of an engine; times are in seconds."""

    slots: int = 8
    max_batch: int = 16
    step_s: float = 0.02
    step_per_request_s: float = 0.0003
    step_per_adapter_s: float = 0.0005
    load_report_lag_s: float = 0.5
    tokens_per_event: int = 1
    checks_fence: bool = True
    resume_s: float = 10.0


@dataclass(slots=True)
class Generation:
    """The generation of one request's text, which streams read and can resume."""

    request_id: str
    model: str
    tokens: int
    priority: int
    sequence: int
    tag: str
    chat: bool
    changed: Event = field(default_factory=Event)
    produced: int = 0
    readers: int = 0
    unread_since: float = 0.0
    ended: bool = False
    broken: bool = False

    @property
    def is_done(self) -> bool:
        """Tell if all tokens were generated."""
        return self.produced >= self.tokens


@dataclass(slots=True)
class EngineCounters:
    """Counters of the engine, kept across restarts."""

    steps: int = 0
    tokens: int = 0
    full_steps: int = 0
    batch_sum: int = 0
    loads: int = 0
    evictions_in_use: int = 0
    old_fences: int = 0


@dataclass(slots=True)
class EngineExecution:
    """One request that the engine accepted for execution."""

    at: float
    request_id: str
    model: str


class EngineStandin(Standin):
    """A model engine that generates text from a fixed pattern."""

    def __init__(
        self,
        name: str,
        store_address: str,
        parameters: EngineParameters | None = None,
        port: int = 0,
    ) -> None:
        self.name = name
        self.store = create_http_peer(store_address, timeout_s=LOAD_TIMEOUT_S)
        self.parameters = parameters or EngineParameters()
        super().__init__(port)
        self.instance = uuid.uuid4().hex[:8]
        self.fence = 0
        self.adapters: dict[str, int] = {}
        self.loading: set[str] = set()
        self.waiting: list[Generation] = []
        self.batch: list[Generation] = []
        self.leaving = False
        self.counters = EngineCounters()
        self.executions: list[EngineExecution] = []
        self.reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=64)
        self.work = Event()
        self.faults = Faults()
        self.resumable: dict[str, Generation] = {}
        self.cancels = 0
        self.resumes = 0
        self.sequence_numbers = itertools.count()
        self.step_task: gevent.Greenlet[..., None] | None = None

    def start(self) -> None:
        """Start the server and the generation."""
        super().start()
        self.step_task = gevent.spawn(self.run_steps)

    def stop(self) -> None:
        """Stop as if killed: open streams break."""
        super().stop()
        if self.step_task is not None:
            self.step_task.kill(block=False)
            self.step_task = None
        for generation in [*self.batch, *self.waiting, *self.resumable.values()]:
            generation.broken = True
            generation.ended = True
            generation.changed.set()

    def restart(self) -> None:
        """Restart as a new instance without adapters and requests."""
        self.stop()
        self.resumable = {}
        self.instance = uuid.uuid4().hex[:8]
        self.fence = 0
        self.adapters = {}
        self.loading = set()
        self.waiting = []
        self.batch = []
        self.start()

    def application(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
        path = environ["PATH_INFO"]
        if path in ("/v1/completions", "/v1/chat/completions"):
            return self.handle_completion(environ, start_response, chat="chat" in path)
        if path == "/orders":
            return self.handle_order(read_json(environ), start_response)
        if path == "/state":
            return send_json(start_response, self.state())
        if path == "/load":
            return send_json(start_response, self.lagging_load())
        if path == "/cancel":
            return self.handle_cancel(read_json(environ), start_response)
        if path == "/resume":
            return self.handle_resume(environ, start_response)
        return send_json(start_response, {"error": {"code": "not_found"}}, 404)

    def state(self) -> dict[str, Any]:
        """Return the current state."""
        return {
            "instance": self.instance,
            "slots": self.parameters.slots,
            "max_batch": self.parameters.max_batch,
            "fence": self.fence,
            "adapters": [
                {
                    "adapter": name.partition("@")[0],
                    "version": name.partition("@")[2],
                    "in_use": in_use,
                }
                for name, in_use in self.adapters.items()
            ],
            "running": len(self.batch) + len(self.waiting),
            "leaving": self.leaving,
        }

    def lagging_load(self) -> dict[str, Any]:
        """Return the load as it was `load_report_lag_s` ago."""
        now = time.monotonic()
        current = {
            "instance": self.instance,
            "running": len(self.batch),
            "waiting": len(self.waiting),
            "leaving": self.leaving,
        }
        self.reports.append((now, current))
        limit = now - self.parameters.load_report_lag_s
        shown = self.reports[0][1]
        for at, report in self.reports:
            if at > limit:
                break
            shown = report
        return shown

    def handle_order(
        self, request: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Load or unload an adapter version as ordered."""
        fence = int(request.get("fence", 0))
        if fence < self.fence:
            self.counters.old_fences += 1
            if self.parameters.checks_fence:
                return send_json(start_response, {"code": "old_fence"}, 409)
        self.fence = max(self.fence, fence)
        name = f"{request['adapter']}@{request['version']}"
        if request["order"] == "unload":
            if self.adapters.get(name, 0) > 0:
                return send_json(start_response, {"code": "in_use"}, 409)
            self.adapters.pop(name, None)
            return send_json(start_response, {"ok": True})
        return self.load_adapter(name, start_response)

    def load_adapter(self, name: str, start_response: StartResponse) -> Iterable[bytes]:
        """Load an adapter version from the store."""
        if name in self.adapters:
            return send_json(start_response, {"ok": True})
        if len(self.adapters) + len(self.loading) >= self.parameters.slots:
            return send_json(start_response, {"code": "no_free_slot"}, 409)
        instance = self.instance
        self.loading.add(name)
        adapter, _, version = name.partition("@")
        try:
            status, _ = self.store.json("GET", f"/adapters/{adapter}/{version}/weights")
        except UpstreamError as error:
            return send_json(
                start_response, {"code": "load_failed", "detail": error.message}, 502
            )
        finally:
            self.loading.discard(name)
        if status == 429:
            return send_json(start_response, {"code": "store_rate"}, 429)
        if status != 200 or instance != self.instance:
            return send_json(start_response, {"code": "load_failed"}, 502)
        self.counters.loads += 1
        self.adapters.setdefault(name, 0)
        return send_json(start_response, {"ok": True})

    def handle_cancel(
        self, request: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Cancel a request."""
        self.cancels += 1
        for generation in [*self.batch, *self.waiting]:
            if generation.request_id == request["request"]:
                self.end(generation)
        self.resumable.pop(request["request"], None)
        return send_json(start_response, {"ok": True})

    def end(self, generation: Generation) -> None:
        """End a generation, whether it is done or cancelled."""
        if generation.ended:
            return
        generation.ended = True
        generation.changed.set()

    def handle_resume(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Resume a broken stream after the last event that the reader received."""
        request = read_json(environ)
        generation = self.resumable.get(request["request"])
        if generation is None or generation.broken:
            error = {"error": {"code": "not_resumable", "message": "not kept"}}
            return send_json(start_response, error, 404)
        self.resumes += 1
        return self.start_stream(
            environ, start_response, generation, int(request["after"])
        )

    def handle_completion(
        self, environ: Environ, start_response: StartResponse, *, chat: bool
    ) -> Iterable[bytes]:
        """Run a completion in the batch, or fail as a test switched on."""
        if self.faults.consume("reset_before"):
            return break_connection(environ)
        request = read_json(environ)
        name = request.get("model", "")
        if name not in self.adapters:
            error = {"error": {"code": "adapter_not_resident", "message": name}}
            return send_json(start_response, error, 404)
        if self.faults.consume("not_started"):
            error = {"error": {"code": "not_started", "message": "busy"}}
            return send_json(start_response, error, 503)
        self.adapters[name] += 1
        generation = Generation(
            request_id=environ.get("HTTP_FILBERTYARD_REQUEST", ""),
            model=name,
            tokens=max(1, int(request.get("max_tokens") or 16)),
            priority=int(environ.get("HTTP_FILBERTYARD_PRIORITY", "9")),
            sequence=next(self.sequence_numbers),
            tag=text_tag(name, extract_prompt(request)),
            chat=chat,
            unread_since=time.monotonic(),
        )
        self.executions.append(
            EngineExecution(time.monotonic(), generation.request_id, name)
        )
        self.waiting.append(generation)
        self.work.set()
        if self.faults.consume("reset_after"):
            return break_connection(environ)
        if self.faults.consume("slow"):
            gevent.sleep(self.faults.slow_s)
        if request.get("stream"):
            self.resumable[generation.request_id] = generation
            return self.start_stream(environ, start_response, generation, 0)
        while not (generation.is_done or generation.ended):
            generation.changed.wait()
            generation.changed.clear()
        if not generation.is_done:
            # A killed engine sends no response at all.
            return break_connection(environ)
        response = encode_completion(
            generation, generated_words(generation, 0, generation.tokens), "stop"
        )
        self.corrupt_response(response)
        body = json.dumps(response).encode()
        headers = [("Content-Type", "application/json")]
        headers.append(("Content-Length", str(len(body))))
        start_response("200 OK", headers)
        return (
            self.send_truncated(environ, body) if self.faults.consume("cut") else [body]
        )

    def corrupt_response(self, response: dict[str, Any]) -> None:
        """Put another model or request into a response if a test switched that on."""
        if self.faults.consume("wrong_model"):
            response["model"] = "another/adapter@v0"
        if self.faults.consume("crossed"):
            response["id"] = "cmpl-another-request"

    def send_truncated(self, environ: Environ, body: bytes) -> Iterator[bytes]:
        """Yield the first half of a response and break the connection."""
        yield body[: len(body) // 2]
        break_connection(environ)

    def start_stream(
        self,
        environ: Environ,
        start_response: StartResponse,
        generation: Generation,
        after: int,
    ) -> Iterable[bytes]:
        """Start a stream of server-sent events."""
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Filbertyard-Request", generation.request_id),
        ]
        start_response("200 OK", headers)
        return self.stream_events(environ, generation, after)

    def stream_events(
        self, environ: Environ, generation: Generation, after: int
    ) -> Iterator[bytes]:
        """Yield numbered events with the tokens, then the end of the stream."""
        generation.readers += 1
        number = after
        events = 1 - (1 - generation.tokens) // self.parameters.tokens_per_event
        try:
            while number < events:
                if generation.broken or (generation.ended and not generation.is_done):
                    break_connection(environ)
                    return
                first = (
                    self.tokens_through_event(number - 1, generation.tokens)
                    if number
                    else 0
                )
                last = self.tokens_through_event(number, generation.tokens)
                if last > generation.produced:
                    generation.changed.clear()
                    generation.changed.wait()
                    continue
                text = generated_words(generation, first, last) + " "
                response = encode_completion(generation, text, None, delta=True)
                self.corrupt_response(response)
                yield encode_event(response, number)
                if number > 0 and self.faults.consume("cut"):
                    break_connection(environ)
                    return
                if self.faults.consume("double"):
                    yield encode_event(response, number)
                number += 1
            if number == events:
                yield encode_event(
                    encode_completion(generation, "", "stop", delta=True), number
                )
                number += 1
            yield b"id: %d\ndata: [DONE]\n\n" % number
        finally:
            generation.readers -= 1
            generation.unread_since = time.monotonic()

    def tokens_through_event(self, number: int, tokens: int) -> int:
        """Return the tokens in events 0 to `number`; the first event has one token."""
        return min(tokens, 1 + number * self.parameters.tokens_per_event)

    def cancel_unread(self) -> None:
        """End streamed requests that nobody has read for `resume_s`."""
        limit = time.monotonic() - self.parameters.resume_s
        for name, generation in list(self.resumable.items()):
            if generation.readers == 0 and generation.unread_since < limit:
                self.end(generation)
                del self.resumable[name]

    def remove_ended(self) -> None:
        """Remove ended requests from the batch and queue; release their adapters."""
        for generation in [*self.batch, *self.waiting]:
            if generation.ended and generation.model in self.adapters:
                self.adapters[generation.model] -= 1
        self.batch = [r for r in self.batch if not r.ended]
        self.waiting = [r for r in self.waiting if not r.ended]

    def run_steps(self) -> None:
        """Generate one token for each request of the batch in each step."""
        parameters = self.parameters
        while True:
            self.cancel_unread()
            self.remove_ended()
            if self.waiting and len(self.batch) < parameters.max_batch:
                self.waiting.sort(key=lambda r: (r.priority, r.sequence))
                free = parameters.max_batch - len(self.batch)
                self.batch.extend(self.waiting[:free])
                del self.waiting[:free]
            if not self.batch:
                self.work.clear()
                self.work.wait(0.5)
                continue
            batch = self.batch
            adapters = len({r.model for r in batch})
            gevent.sleep(
                parameters.step_s
                + parameters.step_per_request_s * len(batch)
                + parameters.step_per_adapter_s * adapters
            )
            counters = self.counters
            counters.steps += 1
            counters.tokens += len(batch)
            counters.batch_sum += len(batch)
            counters.full_steps += len(batch) >= parameters.max_batch
            for generation in batch:
                if generation.model not in self.adapters:
                    counters.evictions_in_use += 1
                generation.produced += 1
                generation.changed.set()
                if generation.is_done:
                    self.end(generation)


def encode_completion(
    generation: Generation,
    text: str,
    finish_reason: str | None,
    *,
    delta: bool = False,
) -> dict[str, Any]:
    """Encode a completion or stream event in the OpenAI format."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if not generation.chat:
        kind = "text_completion"
        choice["text"] = text
    elif delta:
        kind = "chat.completion.chunk"
        choice["delta"] = {"role": "assistant", "content": text} if text else {}
    else:
        kind = "chat.completion"
        choice["message"] = {"role": "assistant", "content": text}
    response: dict[str, Any] = {
        "id": f"cmpl-{generation.request_id}",
        "object": kind,
        "created": 0,
        "model": generation.model,
        "choices": [choice],
    }
    if not delta:
        response["usage"] = {
            "prompt_tokens": 1,
            "completion_tokens": generation.produced,
            "total_tokens": 1 + generation.produced,
        }
    return response


def extract_prompt(request: dict[str, Any]) -> str:
    """Return the prompt of a completion or the messages of a chat as text."""
    prompt = request.get("prompt")
    return prompt if isinstance(prompt, str) else json.dumps(request.get("messages"))


def text_tag(model: str, prompt: str) -> str:
    """Return the tag in every generated word for a model and a prompt."""
    return f"{zlib.crc32(f'{model}|{prompt}'.encode()):08x}"


def expected_text(model: str, prompt: str, tokens: int) -> str:
    """Return the complete text that an engine generates for a request."""
    tag = text_tag(model, prompt)
    return " ".join(f"{tag}.{number}" for number in range(tokens))


def generated_words(generation: Generation, start: int, end: int) -> str:
    """Return the generated words with numbers in range(start, end)."""
    return " ".join(f"{generation.tag}.{number}" for number in range(start, end))


def encode_event(value: dict[str, Any], number: int) -> bytes:
    """Encode a numbered server-sent event."""
    return b"id: %d\ndata: %s\n\n" % (number, json.dumps(value).encode())
