// Command simhost runs many gateways in one process, connected to a simulator. The gateways share no state. The
// simulator provides hosts, clients and the clock, and exchanges lines with the gateways on standard input and output,
// in the format of package simwire. The command ends when its input ends, and exits with status 1 at a malformed line.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"ravensill/internal/config"
	"ravensill/internal/simwire"
	"ravensill/logic"
)

// gcPercent is higher than the default of 100, since many short-lived events are allocated.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simwire.Serve(os.Stdin, os.Stdout, start); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// start returns the decision module of a new gateway.
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
