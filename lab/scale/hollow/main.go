// Command hollow runs hollow gateways on the real clock, one for each configuration file that it is given, until its
// standard input ends. Package scale starts it beside real processes of the program. It takes orders as JSON values on
// standard input and answers each with one on standard output.
package main

import (
	"encoding/json"
	"log"
	"os"
	"runtime"
	"runtime/debug"

	"ravensill/lab/scale"
)

func main() {
	runtime.GOMAXPROCS(1) // as the program
	debug.SetGCPercent(400)
	idle := scale.HeapInUse()
	var gateways []*scale.Served
	out := json.NewEncoder(os.Stdout)
	started := scale.Started{IdleHeap: idle}
	for _, file := range os.Args[1:] {
		g, err := scale.Serve(func(name string) string {
			if name == "GW_CONFIG" {
				return file
			}
			return ""
		})
		if err != nil {
			log.Fatal(err)
		}
		gateways = append(gateways, g)
		started.Gateways = append(started.Gateways, scale.Listening{Index: g.Index(), Address: g.Address()})
	}
	if err := out.Encode(started); err != nil {
		log.Fatal(err)
	}
	in := json.NewDecoder(os.Stdin)
	for {
		var order scale.Order
		if in.Decode(&order) != nil { // the end of the input is the order to end
			return
		}
		if err := out.Encode(obey(gateways, order)); err != nil {
			log.Fatal(err)
		}
	}
}

func obey(gateways []*scale.Served, order scale.Order) (state scale.State) {
	for _, g := range gateways {
		if order.Load != nil {
			g.SetLoad(*order.Load)
		}
		state.Counts = append(state.Counts, g.Counts())
	}
	if order.Heap {
		state.LiveHeap = scale.HeapInUse()
	}
	return state
}
