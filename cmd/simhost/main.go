// Command simhost hosts gateways on the simulator's wire, on standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"ravensill/internal/config"
	"ravensill/internal/simwire"
	"ravensill/logic"
)

// gcPercent trades memory for speed: batches and their events are short-lived.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simwire.Serve(os.Stdin, os.Stdout, newGateway); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// newGateway returns the decision module of a simulated gateway.
func newGateway(seed uint64, settings *config.Settings) simwire.Decider {
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
