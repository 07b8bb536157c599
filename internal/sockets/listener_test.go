package sockets_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"ravensill/internal/sockets"
	"ravensill/internal/sockets/socketstest"
)

// An HTTP server ends by the close of its listener, and by no error of accept(2).
func TestListenerSurvivesAcceptErrors(t *testing.T) {
	errnos := []syscall.Errno{
		syscall.ENOBUFS,
		syscall.ENOMEM,
		syscall.EMFILE,
		syscall.EPROTO,
		syscall.EPERM,
		syscall.EHOSTUNREACH,
	}
	handler := func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") }
	for _, errno := range errnos {
		t.Run(errno.Error(), func(t *testing.T) {
			system := socketstest.New(1, nil)
			system.Script(socketstest.Accept, socketstest.ErrorScript(errno, errno)...)
			listener, err := system.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(handler)}
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(&sockets.Listener{TCPListener: listener, System: system}) }()
			answer, err := http.Get("http://" + listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			answer.Body.Close()
			server.Close()
			if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
				t.Error(err)
			}
		})
	}
}

// A call is retried while it fails by a shortage, until the limit, and not after another error.
func TestRetryShortageRetriesUntilLimit(t *testing.T) {
	bindError := func(errno syscall.Errno) error {
		return &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", errno)}
	}
	const failures = 2
	tests := []struct {
		errno    syscall.Errno
		limit    time.Duration
		attempts int
		fails    bool
	}{
		{syscall.ENFILE, time.Minute, failures + 1, false},
		{syscall.EADDRNOTAVAIL, time.Minute, failures + 1, false},
		{syscall.ENOBUFS, -1, 1, true}, // past the limit
		{syscall.EADDRINUSE, time.Minute, 1, true},
	}
	for _, test := range tests {
		attempts := 0
		err := sockets.RetryResourceExhausted(test.limit, func() error {
			attempts++
			if attempts <= failures {
				return bindError(test.errno)
			}
			return nil
		})
		if attempts != test.attempts || (err != nil) != test.fails {
			t.Errorf("%v: %d attempts, %v", test.errno, attempts, err)
		}
	}
}
