// Package program runs the gateway as a process: it loads the configuration, handles signals, limits the Go runtime,
// and sets the exit status.
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

const (
	exitFailed               = 1 // the gateway could not start, or its shutdown was aborted
	exitInvalidConfiguration = 2
)

// Main runs one gateway on the given platform until it has shut down. If the configuration is invalid, it exits the
// process with status 2, and if the gateway can't start, with status 1.
func Main(platform node.Platform) {
	logging.EnableDebug(os.Getenv("GW_LOG_LEVEL") == logging.DebugLevel)
	logging.SetOutput(os.Stderr)
	signals := notifySignals()
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		slog.Error("start_failed", "error", err)
		os.Exit(exitInvalidConfiguration)
	}
	var follower *configurationFollower // nil: the gateway follows no publisher
	if cfg.Configuration != nil {
		follower = newConfigurationFollower(platform, cfg)
		cfg = follower.cfg
	}
	for _, adjusted := range cfg.Adjusted {
		slog.Warn("settings_adjusted", "key", adjusted.Key, "meaning", adjusted.Meaning)
	}
	limitRuntime(cfg)
	stop := make(chan struct{})
	go signals.handleShutdowns(stop)
	module := logic.New(cfg.Seed, cfg.Membership, cfg.Classes, cfg.Plans, cfg.Limits, cfg.SlowStart, cfg.LoadReport)
	module.LimitCustomers(int(cfg.SpareMemory() / customerMemoryDivisor / customerBytes))
	n := node.NewOnPlatform(platform, cfg, module)
	if follower != nil {
		follower.node = n
		n.AddBackgroundTask(follower.start)
	}
	go signals.handleReloads(n)
	if err := n.Run(stop); err != nil {
		slog.Error("gateway_failed", "error", err)
		os.Exit(exitFailed)
	}
}

const (
	customerMemoryDivisor = 16  // the spare memory divided by this may be used for records of customers
	customerBytes         = 512 // memory of one record, with its entry in the table and a few peers
)

// gcPercent is the garbage at which a collection starts, in percent of the live memory (debug.SetGCPercent).
const gcPercent = 400

// minUncountedMemory is the least memory that is left for what the Go runtime does not count: the text of the program,
// stacks of threads, the C library. It also holds what the runtime allocates beyond its limit before it has collected
// its garbage.
const minUncountedMemory = 10 << 20

// limitRuntime sets the limits of the Go runtime. A quarter of the configured memory is left for memory that the
// runtime doesn't count, and at least minUncountedMemory.
func limitRuntime(cfg *config.Config) {
	runtime.GOMAXPROCS(1) // each gateway has one processor
	debug.SetMemoryLimit(min(cfg.MemoryLimit*3/4, cfg.MemoryLimit-minUncountedMemory))
	debug.SetGCPercent(gcPercent)
}
