package main

import (
	"bytes"
	"context"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/gateway"
	"github.com/fulmarbeam/fulmarbeam/pkg/proxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/settings"
	"github.com/fulmarbeam/fulmarbeam/pkg/telemetry"
	"github.com/fulmarbeam/fulmarbeam/platform"
)

// settingsEnvVar is the environment variable with the default of --settings.
const settingsEnvVar = "FULMARBEAM_SETTINGS"

func newServe() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "serve",
		Short:   "Run an entry VM on a platform with a store until SIGTERM",
		Example: "  fulmarbeam serve --settings /etc/fulmarbeam/gateway.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return result.Errorf(result.UsageError, "set the settings file with --settings or in %s", settingsEnvVar)
			}
			return runGateway(cmd.Context(), file)
		},
	}
	cmd.Flags().StringVar(&file, "settings", os.Getenv(settingsEnvVar), "settings file (JSON with comments); default from "+settingsEnvVar)
	return cmd
}

func runGateway(ctx context.Context, file string) error {
	s, err := settings.LoadGateway(file)
	if err != nil {
		return err
	}
	set := telemetry.NewMetrics()
	out := telemetry.NewLossyWriter(os.Stdout, set)
	defer out.Close()
	logger, err := telemetry.NewLogger(out, s.Log.Level, s.Log.Format)
	if err != nil {
		return errors.Trace(err)
	}
	// net/http logs unsolicited data from servers to the standard logger.
	log.SetOutput(proxy.NewStandardLogWriter(logger))
	g, err := gateway.New(gateway.Config{
		Settings: s, Source: platform.NewStore(s.Store.Address, s.Zones, gateway.NewStoreObserver(set, logger)),
		Dialect: platform.Dialect(), ReadyPath: platform.ReadyPath,
		Logger: logger, Metrics: set, Seed: uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return errors.Trace(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	go watchSettings(ctx, file, hup, g, logger)
	return errors.Trace(g.Run(ctx))
}

// settingsPollInterval is the interval at which the settings file is checked for changes
// that are not signalled.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file on SIGHUP and when its content changes. If the
// file is invalid, it logs the error and the current settings stay in effect.
func watchSettings(ctx context.Context, file string, sighup <-chan os.Signal, g *gateway.Gateway, logger logr.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastData, _ := os.ReadFile(file)
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-sighup:
			requested = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		if err != nil {
			if requested {
				logger.Info("settings not reloaded", "error", err.Error())
			}
			continue
		}
		if !requested && bytes.Equal(data, lastData) {
			continue
		}
		lastData = data
		s, err := settings.ParseGateway(file, data)
		if err != nil {
			logger.Info("settings not reloaded", "error", err.Error())
			continue
		}
		g.Reload(s)
	}
}
