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

// Timeouts of the status listeners, and the time reserved for exiting.
const (
	statusHeaderTimeout = 2 * time.Second
	statusIdleTimeout   = 30 * time.Second
	statusMaxHeader     = 4 << 10                // bytes, to which net/http adds 4 KiB; probes send a few lines
	shutdownMargin      = 300 * time.Millisecond // before the end of the grace period
)

// bindStatus binds the listeners for readiness and metrics.
func (g *Gateway) bindStatus() error {
	s := g.cfg.Settings
	readyRouter := echo.New()
	readyRouter.GET(g.cfg.ReadyPath, func(c echo.Context) error {
		if g.serving.Load() && !g.draining.Load() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	var err error
	if g.ready, err = listen(s.Listen.Ready, readyRouter); err != nil {
		return errors.Annotate(err, "ready")
	}
	if s.Listen.Metrics == "" {
		return nil
	}
	metricsRouter := echo.New()
	metricsRouter.GET("/metrics", echo.WrapHandler(telemetry.MetricsHandler(g.cfg.Metrics)))
	g.metrics, err = listen(s.Listen.Metrics, metricsRouter)
	return errors.Annotate(err, "metrics")
}

func listen(address string, h http.Handler) (listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return listener{}, errors.Trace(err)
	}
	return listener{l, &http.Server{Handler: h, ReadHeaderTimeout: statusHeaderTimeout, IdleTimeout: statusIdleTimeout, MaxHeaderBytes: statusMaxHeader}}, nil
}

// shutdown reports the VM as not ready, waits for the platform to stop sending requests, and then for the
// requests in flight. Requests that arrive during the first wait are served, and their connections are closed;
// later ones are refused unless they finish in time (see proxy.Shutdown).
func (g *Gateway) shutdown() error {
	start := time.Now()
	s := g.cfg.Settings.Shutdown
	g.draining.Store(true)
	g.log.Info("stopping", "in_flight", g.proxy.InFlight())
	end := start.Add(s.Timeout.D() - shutdownMargin)
	time.Sleep(min(s.DrainDelay.D(), time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := g.proxy.Shutdown(ctx, g.callers.server)
	g.log.Info("stopped", "in_flight", g.proxy.InFlight(), "took_ms", time.Since(start).Milliseconds())
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // the log states how many requests were interrupted
	}
	return errors.Trace(err)
}
