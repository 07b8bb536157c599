// Command ravensill-publisher runs one replica of the publisher, which stores the gateways' configuration and sends it
// to them. The environment variable PUBLISHER_CONFIG names the replica's settings file. SIGTERM and SIGINT stop it.
package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"ravensill/internal/config"
	"ravensill/internal/logging"
	"ravensill/internal/publisher"
)

const (
	exitFailed          = 1 // the replica could not start
	exitInvalidSettings = 2 // the settings file could not be read or is invalid
)

func main() {
	logging.SetOutput(os.Stderr)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE, syscall.SIGHUP) // the process must go on after the reader of its log has exited
	cfg, err := config.LoadPublisher(os.Getenv)
	if err != nil {
		slog.Error("start_failed", "error", err)
		os.Exit(exitInvalidSettings)
	}
	p, err := publisher.Start(cfg)
	if err != nil {
		slog.Error("start_failed", "error", err)
		os.Exit(exitFailed)
	}
	slog.Info("publisher_started",
		"index", cfg.Index,
		"listen", p.Addr(),
		"admin_listen", p.AdminAddr(),
		"version", p.Status().Version,
	)
	<-stop
	slog.Info("shutdown_started")
	p.Close()
	slog.Info("stopped")
}
