// Command hollow runs hollow gateways on the real clock, one for each configuration file in its arguments, until
// its standard input ends. Package scale starts it beside real processes of the program. It reads queries as
// JSON values from standard input and answers each with one on standard output.
package main

import (
	"encoding/json"
	"log"
	"os"
	"runtime"
	"runtime/debug"

	"ravensill/lab/scale"
)

const gcPercent = 400 // as the program

func main() {
	runtime.GOMAXPROCS(1) // as the program
	debug.SetGCPercent(gcPercent)
	greeting := scale.Greeting{IdleHeap: scale.LiveHeapBytes()}
	var gateways []*scale.RealTimeGateway
	for _, file := range os.Args[1:] {
		gateway, err := scale.StartRealTimeGateway(environment(file))
		if err != nil {
			log.Fatal(err)
		}
		gateways = append(gateways, gateway)
		greeting.Gateways = append(greeting.Gateways, scale.ListenAddress{
			Index:   gateway.Index(),
			Address: gateway.Address(),
		})
	}
	output := json.NewEncoder(os.Stdout)
	if err := output.Encode(greeting); err != nil {
		log.Fatal(err)
	}
	input := json.NewDecoder(os.Stdin)
	for {
		var query scale.Query
		if input.Decode(&query) != nil { // the end of the input ends the process
			return
		}
		if err := output.Encode(answer(gateways, query)); err != nil {
			log.Fatal(err)
		}
	}
}

// environment returns the environment of a gateway with a configuration file.
func environment(file string) func(name string) string {
	return func(name string) string {
		if name == "GW_CONFIG" {
			return file
		}
		return ""
	}
}

// answer changes the load if the query says so, and returns the status of the gateways.
func answer(gateways []*scale.RealTimeGateway, query scale.Query) (status scale.Status) {
	for _, gateway := range gateways {
		if query.Load != nil {
			gateway.SetLoad(*query.Load)
		}
		status.Counts = append(status.Counts, gateway.Counts())
	}
	if query.Heap {
		status.LiveHeap = scale.LiveHeapBytes()
	}
	return status
}
