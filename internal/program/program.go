// Package program is the gateway as a process: signals, limits of the runtime, the configuration that it starts with, and its end.
package program

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"ravensill/internal/config"
	"ravensill/internal/logging"
	"ravensill/internal/node"
	"ravensill/logic"
)

// Main runs one gateway on a platform, and ends the process with a status other than 0 if it fails.
func Main(platform node.Platform) {
	logging.SetOutput(os.Stderr)
	calls, reloads := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP) // first of all: not asked for, each would end the program as a crash does
	signal.Notify(calls, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE) // who reads the log may go: a line to nobody would end the program
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		slog.Error("start_failed", "error", err)
		os.Exit(2)
	}
	var follows *following // nil: off
	if cfg.Configuration != nil {
		follows = newFollowing(platform, cfg)
		cfg = follows.cfg
	}
	for _, a := range cfg.Adjusted {
		slog.Warn("settings_adjusted", "key", a.Key, "meaning", a.Meaning)
	}
	runtime.GOMAXPROCS(1) // the loop and the connections take turns on the one core
	debug.SetMemoryLimit(cfg.Memory * 3 / 4)
	debug.SetGCPercent(400)
	stop := make(chan struct{})
	go func() {
		<-calls
		close(stop)
		for s := range calls {
			if s == syscall.SIGINT { // from a terminal; the platform that means at once has SIGKILL
				slog.Warn("shutdown_aborted")
				os.Exit(1)
			}
			slog.Info("shutdown_signal_repeated") // its end is near and has its time: a second call must not lose what is open
		}
	}()
	n := node.NewOn(platform, cfg, logic.New(cfg.Seed, cfg.Membership, cfg.Classes, cfg.Plans, cfg.Limits, cfg.SlowStart, cfg.LoadReport))
	if follows != nil {
		follows.node = n
		n.WhileRunning(follows.start)
	}
	go func() {
		for range reloads { // those that come while the file is read are one more
			n.Reload(config.Reload(os.Getenv))
		}
	}()
	if err := n.Run(stop); err != nil {
		slog.Error("gateway_failed", "error", err)
		os.Exit(1)
	}
}
