// Package program is the gateway as a process: its signals, the limits of its runtime, the configuration that it starts
// with, and its exit status.
package program

import (
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"ravensill/internal/config"
	"ravensill/internal/logging"
	"ravensill/internal/node"
	"ravensill/logic"
)

// Exit statuses.
const (
	exitFailed               = 1
	exitInvalidConfiguration = 2
)

// Main runs one gateway on a platform. It ends the process with a status other than 0 if the gateway fails.
func Main(platform node.Platform) {
	logging.SetOutput(os.Stderr)
	signals := notifySignals()
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		slog.Error("start_failed", "error", err)
		os.Exit(exitInvalidConfiguration)
	}
	var follows *following // nil: the gateway follows no publisher
	if cfg.Configuration != nil {
		follows = newFollowing(platform, cfg)
		cfg = follows.cfg
	}
	for _, adjusted := range cfg.Adjusted {
		slog.Warn("settings_adjusted", "key", adjusted.Key, "meaning", adjusted.Meaning)
	}
	limitRuntime(cfg)
	stop := make(chan struct{})
	go signals.handleShutdowns(stop)
	module := logic.New(cfg.Seed, cfg.Membership, cfg.Classes, cfg.Plans, cfg.Limits, cfg.SlowStart, cfg.LoadReport)
	n := node.NewOnPlatform(platform, cfg, module)
	if follows != nil {
		follows.node = n
		n.AddBackgroundTask(follows.start)
	}
	go signals.handleReloads(n)
	if err := n.Run(stop); err != nil {
		slog.Error("gateway_failed", "error", err)
		os.Exit(exitFailed)
	}
}

// garbagePercent is the garbage, over the live memory, at which a collection starts.
const garbagePercent = 400

// limitRuntime sets the limits of Go's runtime. A quarter of the memory is left for what the runtime doesn't count.
func limitRuntime(cfg *config.Config) {
	runtime.GOMAXPROCS(1) // the gateway has one processor
	debug.SetMemoryLimit(cfg.MemoryLimit * 3 / 4)
	debug.SetGCPercent(garbagePercent)
}
