package telemetry

import (
	"context"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// TracingConfig configures tracing for one VM.
type TracingConfig struct {
	Service     string  // name of the program
	VM          string  // id of the VM
	Region      string  // region of the VM
	Zone        string  // availability zone of the VM
	Endpoint    string  // URL of the OTLP HTTP receiver; empty: tracing is disabled
	SampleRatio float64 // 0 to 1, for requests without a sampling decision by the caller
}

// Tracing creates spans and propagates their context in W3C headers. Without an endpoint
// it creates no spans but still propagates the caller's context.
type Tracing struct {
	provider trace.TracerProvider
	shutdown func(context.Context) error
}

// NewTracing sets up tracing. The exporter sends spans in the background: if the receiver
// is unavailable, spans are lost, but requests are not blocked.
func NewTracing(ctx context.Context, cfg TracingConfig) (*Tracing, error) {
	if cfg.Endpoint == "" {
		return &Tracing{noop.NewTracerProvider(), func(context.Context) error { return nil }}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
	if err != nil {
		return nil, errors.Annotate(err, "OTLP exporter")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", cfg.Service),
			attribute.String("service.instance.id", cfg.VM),
			attribute.String("cloud.region", cfg.Region),
			attribute.String("cloud.availability_zone", cfg.Zone),
		)),
	)
	return &Tracing{provider, provider.Shutdown}, nil
}

// Tracer returns the tracer of a package.
func (t *Tracing) Tracer(name string) trace.Tracer { return t.provider.Tracer(name) }

// Propagator returns the propagator for traceparent, tracestate and baggage headers.
func (t *Tracing) Propagator() propagation.TextMapPropagator {
	return propagation.NewCompositeTextMapPropagator(propagation.TraceContext{}, propagation.Baggage{})
}

// Shutdown exports the remaining spans and returns at the latest when ctx ends.
func (t *Tracing) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }
