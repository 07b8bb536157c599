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

// No error of accept(2) ends an HTTP server but the close of its listener.
func TestListenerSurvivesAcceptErrors(t *testing.T) {
	errnos := []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.EPROTO, syscall.EPERM, syscall.EHOSTUNREACH}
	for _, errno := range errnos {
		t.Run(errno.Error(), func(t *testing.T) {
			system := socketstest.New(1, nil)
			system.Script(socketstest.Accept, socketstest.Errors(errno, errno)...)
			listener, err := system.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") })}
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

// A listener is tried again while the machine is short of something, and no longer.
func TestRetryShortage(t *testing.T) {
	bindError := func(errno syscall.Errno) error {
		return &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", errno)}
	}
	for _, test := range []struct {
		errno syscall.Errno
		limit time.Duration
		tries int
		err   bool
	}{
		{syscall.ENFILE, time.Minute, 3, false},
		{syscall.EADDRNOTAVAIL, time.Minute, 3, false},
		{syscall.ENOBUFS, -1, 1, true}, // its time is up
		{syscall.EADDRINUSE, time.Minute, 1, true},
	} {
		tries := 0
		err := sockets.RetryShortage(test.limit, func() error {
			tries++
			if tries < 3 {
				return bindError(test.errno)
			}
			return nil
		})
		if tries != test.tries || (err != nil) != test.err {
			t.Errorf("%v: %d tries, %v", test.errno, tries, err)
		}
	}
}
