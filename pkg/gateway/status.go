package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/fulmarbeam/fulmarbeam/pkg/telemetry"
)

// Times of the status listeners and of the shutdown.
const (
	statusHeaderTime = 2 * time.Second
	statusIdle       = 30 * time.Second
	exitMargin       = 300 * time.Millisecond // before the grace ends
)

// bindStatus binds the listeners for readiness and metrics.
func (g *Gateway) bindStatus() error {
	s := g.cfg.Settings
	ready := echo.New()
	ready.GET(g.cfg.ReadyPath, func(c echo.Context) error {
		if g.serving.Load() && !g.draining.Load() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	var err error
	if g.ready, err = listen(s.Listen.Ready, ready); err != nil {
		return errors.Annotate(err, "ready")
	}
	if s.Listen.Metrics == "" {
		return nil
	}
	meters := echo.New()
	meters.GET("/metrics", echo.WrapHandler(telemetry.MetricsHandler(g.cfg.Metrics)))
	g.meters, err = listen(s.Listen.Metrics, meters)
	return errors.Annotate(err, "metrics")
}

func listen(address string, h http.Handler) (listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return listener{}, errors.Trace(err)
	}
	return listener{l, &http.Server{Handler: h, ReadHeaderTimeout: statusHeaderTime, IdleTimeout: statusIdle}}, nil
}

// shutdown leaves the platform's rotation, ends the requests in flight and returns.
// Requests that still arrive are served, with a note that the connection ends.
func (g *Gateway) shutdown() error {
	start := time.Now()
	s := g.cfg.Settings.Shutdown
	g.draining.Store(true)
	g.log.Info("stopping", "in_flight", g.proxy.InFlight())
	end := start.Add(s.Grace.D() - exitMargin)
	time.Sleep(min(s.Leave.D(), time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	// Shutdown closes idle connections and waits for those with a request.
	err := g.callers.server.Shutdown(ctx)
	g.log.Info("stopped", "in_flight", g.proxy.InFlight(), "took_ms", time.Since(start).Milliseconds())
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // the log says how many requests were cut
	}
	return errors.Trace(err)
}
