package hosts

import (
	"errors"
	"fmt"

	"ravensill/gateway"
	"ravensill/internal/sockets"
)

// Stage is how much of an attempt's command was written when the attempt failed.
type Stage int

const (
	Connecting Stage = iota // no connection was assigned
	Writing                 // a part of the command may have been written, but not its last byte
	Sent                    // the last byte was written: the host may have run the command
)

// String returns the name of the stage in log lines.
func (s Stage) String() string { return [...]string{"connecting", "writing", "sent"}[s] }

// Reasons for which the gateway itself ends an attempt.
var (
	ErrTimedOut = errors.New("timed out")
	ErrCanceled = errors.New("canceled")
)

var (
	errInvalidAnswer   = errors.New("invalid answer")
	errConnectionLimit = errors.New("connection limit reached and no connection is idle")
	errHostRemoved     = errors.New("host removed from the endpoint list")
)

// Failure is the error of an attempt that got no valid answer: how far the attempt had come, and the cause.
type Failure struct {
	Stage Stage
	Err   error
}

func (f *Failure) Error() string { return fmt.Sprintf("%v while %v", f.Err, f.Stage) }

// Unwrap returns the cause of the failure.
func (f *Failure) Unwrap() error { return f.Err }

// Result returns the gateway.Result for the failure. Before the stage Sent it is one of those for an attempt that never
// ran.
func (f *Failure) Result() gateway.Result {
	switch {
	case f.Stage < Sent && f.isCausedByGateway():
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

// isHostFault reports whether the failure is logged as one of the host. Timeouts, cancellations and failures for lack
// of resources on this machine are not.
func (f *Failure) isHostFault() bool {
	if errors.Is(f.Err, ErrTimedOut) || errors.Is(f.Err, ErrCanceled) {
		return false
	}
	return !f.isResourceExhausted()
}

// isCausedByGateway reports whether the cause of the failure is the gateway or its machine. Such a failure must not
// count against the host: a gateway that lacks ports would treat all hosts as outliers.
func (f *Failure) isCausedByGateway() bool {
	for _, cause := range []error{ErrCanceled, errConnectionLimit, errHostRemoved} {
		if errors.Is(f.Err, cause) {
			return true
		}
	}
	return f.isResourceExhausted()
}

// isResourceExhausted reports whether no connection could be opened because this machine lacks a resource, such as
// descriptors or ports.
func (f *Failure) isResourceExhausted() bool {
	return f.Stage == Connecting && sockets.IsResourceExhausted(f.Err)
}
