package hosts

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// Whether the result of a failure says that the attempt may have run depends on its stage, not on the cause.
func TestFailureResultDependsOnStage(t *testing.T) {
	var trace strings.Builder
	for _, cause := range []error{errMalformed, io.EOF, ErrTimedOut, ErrCanceled} {
		for stage := Connecting; stage <= Sent; stage++ {
			failure := &Failure{stage, cause}
			result := failure.Result()
			fmt.Fprintf(&trace, "%v: result %d, never ran %t\n", failure, result, result.NeverRan())
		}
	}
	golden.Check(t, trace.String())
}

// A dial that fails for lack of resources on this machine never counts against the host, and an attempt that may have
// run is never reported as one that never ran.
func TestSystemErrorResultDependsOnStage(t *testing.T) {
	localErrors := []syscall.Errno{
		syscall.EMFILE,
		syscall.ENFILE,
		syscall.ENOBUFS,
		syscall.ENOMEM,
		syscall.EADDRNOTAVAIL,
		syscall.ENETUNREACH,
		syscall.ENETDOWN,
		syscall.EINTR,
	}
	remoteErrors := []syscall.Errno{
		syscall.ECONNREFUSED,
		syscall.ECONNRESET,
		syscall.ETIMEDOUT,
		syscall.EHOSTUNREACH,
		syscall.EPIPE,
	}
	check := func(errno syscall.Errno, stage Stage, result gateway.Result, hostFault bool) {
		t.Helper()
		failure := &Failure{stage, &net.OpError{Op: "dial", Err: os.NewSyscallError("call", errno)}}
		if got := failure.Result(); got != result {
			t.Errorf("%v: result %d, want %d", failure, got, result)
		}
		if got := failure.isHostFault(); got != hostFault {
			t.Errorf("%v: host fault %t, want %t", failure, got, hostFault)
		}
	}
	for _, errno := range localErrors {
		check(errno, Connecting, gateway.NotSent, false)
		check(errno, Writing, gateway.Unreachable, true)
		check(errno, Sent, gateway.Disconnected, true)
	}
	for _, errno := range remoteErrors {
		check(errno, Connecting, gateway.Unreachable, true)
		check(errno, Writing, gateway.Unreachable, true)
		check(errno, Sent, gateway.Disconnected, true)
	}
	for _, errno := range append(localErrors, remoteErrors...) {
		if failure := (&Failure{Sent, errno}); failure.Result().NeverRan() {
			t.Errorf("%v: the result says that the attempt never ran", failure)
		}
	}
}
