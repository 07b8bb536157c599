// Command standin plays the clients, hosts and the platform of the cases under review/ around gateways that it starts
// with the deploy file's command. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

// scenario is what a case is given.
type scenario struct {
	root    string  // of the repository
	dir     string  // temporary folder
	log     *record // record.txt
	trouble bool    // whether the disruption is played
}

var cases = map[string]func(*scenario) (int, error){
	"copies":     playCopies,
	"flights":    playFlights,
	"leases":     playLeases,
	"pipeline":   playPipeline,
	"publishers": playPublishers,
}

// summary writes a line to the record and to standard output.
func (s *scenario) summary(format string, values ...any) {
	s.log.printf(format, values...)
	fmt.Printf(format+"\n", values...)
}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "root of the repository")
	dir := flag.String("dir", "", "temporary folder")
	path := flag.String("record", "record.txt", "the record to write")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play := cases[*name]
	log, err := newRecord(*path)
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "standin: no such case, or no record:", *name, err)
		os.Exit(couldNotRun)
	}
	result, err := play(&scenario{root: *root, dir: *dir, log: log, trouble: *trouble})
	if err != nil {
		log.printf("the case could not run: %v", err)
		result = couldNotRun
	}
	log.printf("result %d", result)
	log.close()
	fmt.Println("result", result)
	os.Exit(result)
}
