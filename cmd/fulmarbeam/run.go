package main

import (
	"context"
	"encoding/base64"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/node"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/proxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/settings"
	"github.com/fulmarbeam/fulmarbeam/pkg/telemetry"
)

// runNode runs the VM until SIGTERM or SIGINT. It returns nil after a graceful shutdown.
func runNode(ctx context.Context, s *settings.Settings) error {
	logger, err := telemetry.NewLogger(os.Stderr, s.Log.Level, s.Log.Format)
	if err != nil {
		return errors.Trace(err)
	}
	// net/http logs unsolicited data from servers to the standard logger.
	log.SetOutput(proxy.NewStandardLogWriter(logger))
	rootKey, err := base64.StdEncoding.DecodeString(s.RootKey)
	if err != nil {
		return result.Errorf(result.SettingsInvalid, "root_key: %v", err)
	}
	n, err := node.New(node.Config{
		Settings: s, RootKey: rootKey, Logger: logger, Version: version(),
		Log:    platformapi.NewLogClient(s.Platform.LogURL, nil),
		Lister: platformapi.NewListClient(s.Platform.ListURL, nil),
	})
	if err != nil {
		return errors.Trace(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return errors.Trace(n.Run(ctx))
}
