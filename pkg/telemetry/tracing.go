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

// TracingConfig says who traces and where spans go.
type TracingConfig struct {
	Service     string  // name of the program
	VM          string  // id of the VM
	Region      string  // region of the VM
	Zone        string  // availability zone of the VM
	Endpoint    string  // URL of an OTLP HTTP receiver; empty: no export
	SampleRatio float64 // 0 to 1, for traces whose caller has not decided
}

// Tracing makes spans and carries their context in W3C headers. Without an
// endpoint it makes no spans but still passes the caller's context on.
type Tracing struct {
	provider trace.TracerProvider
	shutdown func(context.Context) error
}

// NewTracing sets tracing up. The exporter connects in the background; a receiver
// that is away loses spans and blocks nothing.
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

// Propagator reads and writes traceparent, tracestate and baggage.
func (t *Tracing) Propagator() propagation.TextMapPropagator {
	return propagation.NewCompositeTextMapPropagator(propagation.TraceContext{}, propagation.Baggage{})
}

// Shutdown exports the spans that wait, until ctx ends.
func (t *Tracing) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }
