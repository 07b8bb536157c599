// Command simhost runs many gateways in one process for the operators' simulator. The gateways share no state;
// the simulator provides hosts, clients and the clock, and talks to all of them over the simulator's wire
// (package simwire) on standard input and output. It ends when its input ends, and exits with 1 at a malformed
// line.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"ravensill/internal/config"
	"ravensill/internal/simwire"
	"ravensill/logic"
)

// gcPercent is higher than the default: many short-lived events are allocated.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simwire.Serve(os.Stdin, os.Stdout, start); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// start starts a gateway with the decisions of package logic.
func start(seed uint64, settings *config.Settings) simwire.Decider {
	return logic.New(
		seed,
		settings.Membership,
		settings.Classes,
		settings.Plans,
		settings.Limits,
		settings.SlowStart,
		settings.LoadReport,
	)
}
