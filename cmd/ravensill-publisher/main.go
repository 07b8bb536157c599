// Command ravensill-publisher is one replica of the publishers of the gateways' configuration. PUBLISHER_CONFIG names its
// file.
package main

import (
	"log"
	"os"
	"os/signal"
	"syscall"

	"ravensill/internal/config"
	"ravensill/internal/publisher"
)

// Exit codes.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	log.SetFlags(log.LUTC | log.Ldate | log.Ltime | log.Lmicroseconds)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE, syscall.SIGHUP) // whoever reads the log may go
	cfg, err := config.LoadPublisher(os.Getenv)
	if err != nil {
		log.Printf("event=start_failed error=%q", err)
		os.Exit(exitBadSettings)
	}
	p, err := publisher.Start(cfg)
	if err != nil {
		log.Printf("event=start_failed error=%q", err)
		os.Exit(exitFailed)
	}
	log.Printf("event=publisher_started index=%d listen=%s admin_listen=%s version=%d", cfg.Index, p.Addr(), p.AdminAddr(),
		p.Status().Version)
	<-stop
	log.Printf("event=stopping")
	p.Close()
	log.Printf("event=stopped")
}
