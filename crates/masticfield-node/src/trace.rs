//! Distributed tracing with the W3C trace context.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{SpanKind, Status, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_http::{HeaderExtractor, HeaderInjector};
use opentelemetry_otlp::{SpanExporter, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::runtime::Tokio;
use opentelemetry_sdk::trace::span_processor_with_async_runtime::BatchSpanProcessor;
use opentelemetry_sdk::trace::{Sampler, SdkTracer, SdkTracerProvider};
use snafu::{ResultExt, Snafu};

/// Time within which the collector must accept a batch of spans.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Creates the spans of one program.
#[derive(Debug, Clone)]
pub struct Tracing(Arc<TracingParts>);

/// Exporter, tracer and propagator, shared by all spans.
#[derive(Debug)]
struct TracingParts {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
}

/// A span of a request's trace; it ends when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct RequestSpan {
    cx: Context,
    tracing: Tracing,
}

/// Error of setting up the export of spans.
#[derive(Debug, Snafu)]
#[snafu(display("spans cannot be sent to {endpoint}"))]
pub struct TraceSetupError {
    endpoint: String,
    source: opentelemetry_otlp::ExporterBuildError,
}

impl Tracing {
    /// Creates the tracing of `program`; spans are exported only if `endpoint` is given.
    ///
    /// `ratio` is the fraction of traces that are recorded; a caller's decision takes precedence.
    ///
    /// # Errors
    ///
    /// Fails if no exporter can be created for the endpoint.
    pub fn new(
        program: &'static str,
        endpoint: Option<&str>,
        ratio: f64,
    ) -> Result<Self, TraceSetupError> {
        let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(ratio)));
        let resource = Resource::builder_empty().with_service_name(program).build();
        let mut builder = SdkTracerProvider::builder()
            .with_sampler(sampler)
            .with_resource(resource);
        if let Some(endpoint) = endpoint {
            let exporter = exporter(endpoint)?;
            let processor = BatchSpanProcessor::builder(exporter, Tokio).build();
            builder = builder.with_span_processor(processor);
        }
        let provider = builder.build();
        let tracer = provider.tracer(program);
        Ok(Self(Arc::new(TracingParts {
            provider,
            tracer,
            propagator: TraceContextPropagator::new(),
        })))
    }

    /// Starts the server span of a request, continuing the trace context in `headers`.
    pub fn server_span(&self, name: &'static str, headers: &HeaderMap) -> RequestSpan {
        let parent = self.0.propagator.extract(&HeaderExtractor(headers));
        self.start(name, SpanKind::Server, &parent)
    }

    /// Exports the remaining spans and shuts the exporter down.
    pub fn flush(&self) {
        if let Err(error) = self.0.provider.shutdown() {
            log::debug!(error:%; "spans could not be exported at shutdown");
        }
    }

    fn start(&self, name: &'static str, kind: SpanKind, parent: &Context) -> RequestSpan {
        let span = self.0.tracer.span_builder(name).with_kind(kind);
        let span = span.start_with_context(&self.0.tracer, parent);
        RequestSpan {
            cx: parent.with_span(span),
            tracing: self.clone(),
        }
    }
}

impl RequestSpan {
    /// Starts a child span for a step within this process.
    #[must_use]
    pub fn internal_span(&self, name: &'static str) -> Self {
        self.tracing.start(name, SpanKind::Internal, &self.cx)
    }

    /// Starts a child span for a call to another process.
    #[must_use]
    pub fn client_span(&self, name: &'static str) -> Self {
        self.tracing.start(name, SpanKind::Client, &self.cx)
    }

    /// Writes the trace context into the headers of a request or response.
    pub fn inject(&self, headers: &mut HeaderMap) {
        self.tracing
            .0
            .propagator
            .inject_context(&self.cx, &mut HeaderInjector(headers));
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        let span = self.cx.span();
        if span.is_recording() {
            span.set_attribute(KeyValue::new(key, value));
        }
    }

    /// Marks the span as failed.
    pub fn set_error(&self, description: &'static str) {
        self.cx.span().set_status(Status::error(description));
    }
}

fn exporter(endpoint: &str) -> Result<SpanExporter, TraceSetupError> {
    let client =
        opentelemetry_http::hyper::HyperClient::with_default_connector(EXPORT_TIMEOUT, None);
    SpanExporter::builder()
        .with_http()
        .with_http_client(client)
        .with_endpoint(endpoint)
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .context(TraceSetupSnafu { endpoint })
}
