// Command ravensill-publisher runs one replica of the publishers of the gateways' configuration. The environment
// variable PUBLISHER_CONFIG names its file.
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

// Exit codes.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	logging.SetOutput(os.Stderr)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE, syscall.SIGHUP) // the reader of the log may exit
	cfg, err := config.LoadPublisher(os.Getenv)
	if err != nil {
		slog.Error("start_failed", "error", err)
		os.Exit(exitBadSettings)
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
