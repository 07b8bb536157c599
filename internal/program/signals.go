package program

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"ravensill/internal/config"
	"ravensill/internal/node"
)

// processSignals holds the channels of the signals that the process handles until it ends.
type processSignals struct {
	shutdowns chan os.Signal // SIGTERM and SIGINT
	reloads   chan os.Signal // SIGHUP
}

// notifySignals registers for signals. It is called first in Main, since until then a SIGHUP ends the process. Signals
// that are received before their handler runs wait in the channels.
func notifySignals() *processSignals {
	s := &processSignals{
		shutdowns: make(chan os.Signal, 2),
		reloads:   make(chan os.Signal, 1),
	}
	signal.Notify(s.reloads, syscall.SIGHUP)
	signal.Notify(s.shutdowns, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE) // writing a log line must not end the process if the reader of the log has exited
	return s
}

// handleShutdowns closes stop at the first SIGTERM or SIGINT. A later SIGINT, such as from a terminal, aborts the
// shutdown and exits the process. A later SIGTERM is only logged: open requests keep their time to end, and a platform
// that wants to abort the shutdown sends SIGKILL.
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

// handleReloads reloads the configuration file at each SIGHUP. All signals received during a reload together cause one
// more reload.
func (s *processSignals) handleReloads(n *node.Node) {
	for range s.reloads {
		n.Reload(config.Reload(os.Getenv))
	}
}
