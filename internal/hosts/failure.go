package hosts

import (
	"errors"
	"fmt"

	"ravensill/gateway"
	"ravensill/internal/sockets"
)

// Stage says how far an attempt had come when it failed.
type Stage int

const (
	Connecting Stage = iota // no connection yet
	Writing                 // a part of the command may be written
	Sent                    // its last byte is written: the host may have run it
)

func (s Stage) String() string { return [...]string{"connecting", "writing", "sent"}[s] }

// Reasons for which the gateway ends an attempt.
var (
	ErrTimedOut = errors.New("timed out")
	ErrCanceled = errors.New("canceled")
)

var (
	errInvalidAnswer = errors.New("spoilt answer")
	errNoDescriptor  = errors.New("no descriptor free")
	errHostRemoved   = errors.New("the host is gone")
)

// Failure is the error of an attempt that got no valid answer.
type Failure struct {
	Stage Stage
	Err   error
}

func (f *Failure) Error() string { return fmt.Sprintf("%v while %v", f.Err, f.Stage) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Result returns the failure as a result of the gateway interface.
func (f *Failure) Result() gateway.Result {
	switch {
	case f.Stage < Sent && f.byGateway():
		return gateway.NotSent
	case f.Stage < Sent:
		return gateway.Unreachable
	case errors.Is(f.Err, ErrTimedOut):
		return gateway.TimedOut
	case errors.Is(f.Err, ErrCanceled):
		return gateway.Canceled
	case errors.Is(f.Err, errInvalidAnswer):
		return gateway.Malformed
	}
	return gateway.Disconnected
}

// byGateway reports whether the attempt ended for a cause at the gateway, which says nothing of the host: a gateway that is short of
// ports would else take all hosts for outliers.
func (f *Failure) byGateway() bool {
	return errors.Is(f.Err, ErrCanceled) || errors.Is(f.Err, errNoDescriptor) || errors.Is(f.Err, errHostRemoved) ||
		errors.Is(f.Err, errQueueTimeout) || f.byShortage()
}

// byShortage reports whether no connection could be opened for want of something on this machine.
func (f *Failure) byShortage() bool { return f.Stage == Connecting && sockets.IsShortage(f.Err) }
