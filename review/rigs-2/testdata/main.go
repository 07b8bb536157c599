// Command rigs runs the cases of the second review. Each case starts the project's own programs as separate
// processes, plays clients, hosts and discovery against them on loopback addresses, and judges what these have seen.
//
//	rigs NAME FOLDER
//
// It runs in the root of the repository and writes FOLDER/record.txt. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

// cases are the cases by the name on the command line. Each returns whether the rule was broken.
var cases = map[string]func(r *rig) bool{
	"growth": playGrowth,
	"late":   playLate,
	"gone":   playGone,
	"window": playWindow,
	"cap":    playCap,
}

// cannotRun is the value of the panic by which a case ends that can't run.
type cannotRun struct{ reason string }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rigs NAME FOLDER")
		os.Exit(exitNotRun)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	temp, err := os.MkdirTemp("", "ravensill-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &rig{start: time.Now(), record: record, temp: temp, trouble: os.Getenv("TROUBLE") != "0"}
	r.note("case %s, trouble %v, started %s", os.Args[1], r.trouble, r.start.UTC().Format(time.RFC3339))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxRunTime):
		}
		r.note("the case was ended before its end")
		r.finish(exitNotRun)
	}()
	r.finish(play(r, cases[os.Args[1]]))
}

// play plays a case and returns its exit code.
func play(r *rig, run func(r *rig) bool) (code int) {
	defer func() {
		if p := recover(); p != nil {
			failure, ok := p.(cannotRun)
			if !ok {
				panic(p)
			}
			r.note("the case could not run: %s", failure.reason)
			code = exitNotRun
		}
	}()
	if run(r) {
		r.note("RESULT: the rule was broken")
		return exitBroken
	}
	r.note("RESULT: the rule held")
	return exitHeld
}
