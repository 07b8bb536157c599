package hosts

import (
	"errors"
	"fmt"

	"ravensill/gateway"
	"ravensill/internal/sockets"
)

// Stage is how far an attempt had come when it failed.
type Stage int

const (
	Connecting Stage = iota // no connection yet
	Writing                 // a part of the command may be written
	Sent                    // its last byte is written: the host may have run it
)

// String returns the stage as log lines name it.
func (s Stage) String() string { return [...]string{"connecting", "writing", "sent"}[s] }

// Reasons for which the gateway ends an attempt.
var (
	ErrTimedOut = errors.New("timed out")
	ErrCanceled = errors.New("canceled")
)

var (
	errInvalidAnswer = errors.New("invalid answer")
	errNoDescriptor  = errors.New("no free descriptor")
	errHostRemoved   = errors.New("host removed")
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
	case f.Stage < Sent && f.isGatewayCause():
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

// isHostFault reports whether the failure is the host's, and not one of time, cancellation, the connection quota or
// this machine.
func (f *Failure) isHostFault() bool {
	switch {
	case errors.Is(f.Err, ErrTimedOut), errors.Is(f.Err, ErrCanceled), errors.Is(f.Err, errQueueTimeout):
		return false
	}
	return !f.isShortage()
}

// isGatewayCause reports whether the attempt ended for a cause at the gateway. Such a failure must not count against
// the host: a gateway that lacks ports would treat all hosts as outliers.
func (f *Failure) isGatewayCause() bool {
	for _, cause := range []error{ErrCanceled, errNoDescriptor, errHostRemoved, errQueueTimeout} {
		if errors.Is(f.Err, cause) {
			return true
		}
	}
	return f.isShortage()
}

// isShortage reports whether no connection could be opened because this machine lacks a resource.
func (f *Failure) isShortage() bool {
	return f.Stage == Connecting && sockets.IsResourceExhausted(f.Err)
}
