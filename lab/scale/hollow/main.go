// Command hollow runs hollow gateways on the real clock, one for each configuration file in its arguments, until its
// standard input ends. Package scale starts it beside real gateway processes. It first writes a greeting to standard
// output, then answers each query on standard input with a status, all as JSON values.
package main

import (
	"encoding/json"
	"log"
	"os"
	"runtime"
	"runtime/debug"

	"ravensill/lab/scale"
)

const gcPercent = 400 // the setting of the program

func main() {
	runtime.GOMAXPROCS(1) // as in the program
	debug.SetGCPercent(gcPercent)
	greeting := scale.Greeting{IdleHeap: scale.LiveHeapBytes()}
	var gateways []*scale.RealTimeGateway
	for _, file := range os.Args[1:] {
		gateway, err := scale.StartRealTimeGateway(configEnvironment(file))
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
		if input.Decode(&query) != nil { // standard input has ended
			return
		}
		if err := output.Encode(handleQuery(gateways, query)); err != nil {
			log.Fatal(err)
		}
	}
}

// configEnvironment returns a getenv function that names a configuration file.
func configEnvironment(file string) func(name string) string {
	return func(name string) string {
		if name == "GW_CONFIG" {
			return file
		}
		return ""
	}
}

// handleQuery changes the load if the query contains one, and returns the status of the gateways.
func handleQuery(gateways []*scale.RealTimeGateway, query scale.Query) (status scale.Status) {
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
