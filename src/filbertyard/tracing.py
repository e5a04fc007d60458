"""Traces by the OpenTelemetry SDK: one span for each hop of a request."""

from __future__ import annotations

import typing as t
from collections.abc import Callable
from dataclasses import dataclass

from .exceptions import SettingsError
from .hostsettings import TracingSettings

# The SDK is imported when an exporter is configured: it costs several megabytes.
if t.TYPE_CHECKING:
    from opentelemetry.sdk.trace import SpanProcessor
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.trace import Span

ProcessorFactory = Callable[[TracingSettings], "SpanProcessor | None"]

TRACE_EXPORTERS: dict[str, ProcessorFactory] = {}


def trace_exporter(name: str) -> Callable[[ProcessorFactory], ProcessorFactory]:
    """Register an exporter of spans under `name`."""

    def register(factory: ProcessorFactory) -> ProcessorFactory:
        TRACE_EXPORTERS[name] = factory
        return factory

    return register


@trace_exporter("none")
def create_no_exporter(settings: TracingSettings) -> None:
    """Return nothing: tracing is off."""
    return


@trace_exporter("console")
def create_console_exporter(settings: TracingSettings) -> SpanProcessor:
    """Write spans to standard output."""
    from opentelemetry.sdk.trace.export import BatchSpanProcessor
    from opentelemetry.sdk.trace.export import ConsoleSpanExporter

    return BatchSpanProcessor(ConsoleSpanExporter())


@trace_exporter("otlp")
def create_otlp_exporter(settings: TracingSettings) -> SpanProcessor:
    """Send spans to a collector by OTLP over HTTP."""
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
    from opentelemetry.sdk.trace.export import BatchSpanProcessor

    if not settings.endpoint:
        raise SettingsError("tracing.endpoint", "nothing", "the URL of a collector")
    return BatchSpanProcessor(OTLPSpanExporter(endpoint=settings.endpoint))


@trace_exporter("memory")
def create_memory_exporter(settings: TracingSettings) -> SpanProcessor:
    """Keep spans in this process, for tests."""
    from opentelemetry.sdk.trace.export import SimpleSpanProcessor
    from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
        InMemorySpanExporter,
    )

    return SimpleSpanProcessor(InMemorySpanExporter())


@dataclass(slots=True)
class HopSpan:
    """One open span; `traceparent` identifies it to the next hop."""

    span: Span
    traceparent: str

    def end(self, outcome: str, **attributes: str | int | float) -> None:
        """End the span with the outcome of its hop."""
        from opentelemetry.trace import Status
        from opentelemetry.trace import StatusCode

        self.span.set_attribute("filbertyard.outcome", outcome)
        for name, value in attributes.items():
            self.span.set_attribute(f"filbertyard.{name}", value)
        if outcome not in ("answered", "cancelled"):
            self.span.set_status(Status(StatusCode.ERROR, outcome))
        self.span.end()


class Tracing:
    """Spans of one host; `start` returns None while tracing is off."""

    def __init__(
        self,
        provider: TracerProvider | None = None,
        processor: SpanProcessor | None = None,
    ) -> None:
        self.provider = provider
        self.processor = processor
        self.tracer = provider.get_tracer("filbertyard") if provider else None

    def start(
        self, name: str, traceparent: str, is_server: bool, **attributes: str | int
    ) -> HopSpan | None:
        """Start the span of one hop below the span that `traceparent` names."""
        if self.tracer is None:
            return None
        from opentelemetry.trace import SpanKind
        from opentelemetry.trace.propagation.tracecontext import (
            TraceContextTextMapPropagator,
        )

        propagator = TraceContextTextMapPropagator()
        context = propagator.extract({"traceparent": traceparent})
        span = self.tracer.start_span(
            name,
            context,
            SpanKind.SERVER if is_server else SpanKind.CLIENT,
            {f"filbertyard.{key}": value for key, value in attributes.items()},
        )
        own = span.get_span_context()
        text = f"00-{own.trace_id:032x}-{own.span_id:016x}-{int(own.trace_flags):02x}"
        return HopSpan(span, text)

    def stop(self) -> None:
        """Send the buffered spans and stop."""
        if self.provider is not None:
            self.provider.shutdown()


def create_tracing(settings: TracingSettings, host: str) -> Tracing:
    """Return the tracing that the settings name; raise SettingsError."""
    factory = TRACE_EXPORTERS.get(settings.exporter)
    if factory is None:
        known = ", ".join(sorted(TRACE_EXPORTERS))
        raise SettingsError("tracing.exporter", repr(settings.exporter), known)
    processor = factory(settings)
    if processor is None:
        return Tracing()
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider

    resource = Resource.create(
        {"service.name": "filbertyard", "service.instance.id": host}
    )
    provider = TracerProvider(resource=resource, shutdown_on_exit=False)
    provider.add_span_processor(processor)
    return Tracing(provider, processor)
