package program

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"ravensill/internal/config"
	"ravensill/internal/node"
)

// processSignals are the signals that the process has received. They are handled until the process ends.
type processSignals struct {
	shutdowns chan os.Signal // SIGTERM and SIGINT
	reloads   chan os.Signal // SIGHUP
}

// notifySignals starts receiving signals. Before it, a SIGHUP ends the process.
func notifySignals() *processSignals {
	s := &processSignals{
		shutdowns: make(chan os.Signal, 2),
		reloads:   make(chan os.Signal, 1),
	}
	signal.Notify(s.reloads, syscall.SIGHUP)
	signal.Notify(s.shutdowns, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE) // a log line must not end the process when the log's reader is gone
	return s
}

// handleShutdowns closes stop at the first signal. A further SIGINT, as from a terminal, aborts the shutdown. A further
// SIGTERM does not: the platform has SIGKILL for that, and open requests have their time to end.
func (s *processSignals) handleShutdowns(stop chan<- struct{}) {
	<-s.shutdowns
	close(stop)
	for received := range s.shutdowns {
		if received == syscall.SIGINT {
			slog.Warn("shutdown_aborted")
			os.Exit(exitFailed)
		}
		slog.Info("shutdown_signal_repeated")
	}
}

// handleReloads reloads the configuration at each signal. Signals that come during a reload lead to one more.
func (s *processSignals) handleReloads(n *node.Node) {
	for range s.reloads {
		n.Reload(config.Reload(os.Getenv))
	}
}
