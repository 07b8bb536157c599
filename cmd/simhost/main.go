// Command simhost hosts gateways on the simulator's wire, on standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"ravensill/gateway"
	"ravensill/internal/simwire"
	"ravensill/logic"
)

func main() {
	debug.SetGCPercent(400) // records come and go in great number
	err := simwire.Serve(os.Stdin, os.Stdout, func(seed uint64, seat gateway.Membership, fronts []gateway.RequestClass,
		plans []gateway.Plan, limits gateway.Limits, cold gateway.SlowStart, report gateway.LoadReportForm) simwire.Decider {
		return logic.New(seed, seat, fronts, plans, limits, cold, report)
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
