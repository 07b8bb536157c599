// Command ravensill is one gateway on sockets.
package main

import (
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"ravensill/internal/config"
	"ravensill/internal/node"
	"ravensill/logic"
)

func main() {
	log.SetFlags(log.LUTC | log.Ldate | log.Ltime | log.Lmicroseconds)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.Printf("event=start_failed error=%q", err)
		os.Exit(2)
	}
	for _, a := range cfg.Adjusted {
		log.Printf("event=settings_adjusted key=%s meaning=%q", a.Key, a.Meaning)
	}
	runtime.GOMAXPROCS(1) // the loop and the connections take turns on the one core
	debug.SetMemoryLimit(cfg.Memory * 3 / 4)
	debug.SetGCPercent(400)
	stop := make(chan struct{})
	calls, reloads := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(calls, syscall.SIGTERM, syscall.SIGINT) // before it serves: a call to stop may come at once
	signal.Notify(reloads, syscall.SIGHUP)                // not asked for, it would end the program
	go func() {
		<-calls
		close(stop)
		<-calls // called twice: at once
		log.Printf("event=stopped_at_once")
		os.Exit(1)
	}()
	n := node.New(cfg, logic.New(cfg.Seed, cfg.Seat, cfg.Fronts, cfg.Plans, cfg.Limits, cfg.Cold, cfg.Report))
	go func() {
		for range reloads { // those that come while the file is read are one more
			n.Reload(config.Reload(os.Getenv))
		}
	}()
	if err := n.Run(stop); err != nil {
		log.Printf("event=failed error=%q", err)
		os.Exit(1)
	}
}
