package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"ravensill/internal/sockets"
)

// maxHeaderBytes bounds the header of a response, status line included.
const maxHeaderBytes = 64 << 10

// WatchOptions are the options of one watch. Its callbacks are called one at a time, by the goroutine that runs Watch.
type WatchOptions struct {
	System       sockets.System
	Address      string // IP address and port of the agent
	AfterVersion int64  // the agent is asked for versions of the endpoint list later than this one

	Timeouts *Timeouts    // not shared with another watch
	Pending  *PendingRead // not shared with another watch

	// OnReceived is called when bytes of the body were received, including the empty lines that the agent sends while
	// nothing changes.
	OnReceived func()
	// OnList is called with the JSON text of each list, complete or of changes.
	OnList func(list string)
}

// Watch requests the endpoint list from an agent and passes on each list until the watch ends. The error, never nil,
// says why it ended: a connection that failed or was closed, a status other than 200, a malformed body, a timeout, the
// end of the context, or a panic, which is logged.
func Watch(ctx context.Context, options WatchOptions) (err error) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "discovery", "error", p, "stack", debug.Stack())
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	timeouts := options.Timeouts
	transport := newTransport(options.System, timeouts, options.Pending)
	defer transport.CloseIdleConnections()
	defer options.Pending.conn.Store(nil)
	url := fmt.Sprintf("http://%s/v1/servers?watch=1&after=%d", options.Address, options.AfterVersion)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("User-Agent", "") // omits the header
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("answer is %.40q", response.Status)
	}
	timeouts.enterPhase(betweenValues, time.Now())
	reader := &valueReader{
		body:       response.Body,
		onReceived: options.OnReceived,
		onValue:    options.OnList,
		onPhase:    func(phase phase) { timeouts.enterPhase(phase, time.Now()) },
	}
	return reader.run()
}

// newTransport returns the HTTP transport of one watch. It uses no proxy, follows no redirect and does not reuse its
// connection. Its dialer also moves the watch to awaitingHeader and makes the connection visible to pending.
func newTransport(system sockets.System, timeouts *Timeouts, pending *PendingRead) *http.Transport {
	timeouts.enterPhase(connecting, time.Now())
	dialer := &net.Dialer{Deadline: timeouts.deadline()}
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := system.Dial(ctx, dialer, address)
		if err != nil {
			return nil, err
		}
		watched, err := newWatchedConn(system, conn)
		if err != nil {
			conn.Close()
			return nil, err
		}
		timeouts.enterPhase(awaitingHeader, time.Now())
		pending.conn.Store(watched)
		return timedConn{watched, timeouts}, nil
	}
	return &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// timedConn is a connection whose reads end at the deadline of the watch's phase.
type timedConn struct {
	net.Conn
	timeouts *Timeouts
}

// Read reads once more after the deadline, for up to finalReadTimeout: after a suspension of the process the deadline
// is exceeded even if bytes arrived in time.
func (c timedConn) Read(p []byte) (n int, err error) {
	c.SetReadDeadline(c.timeouts.deadline())
	n, err = c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.SetReadDeadline(time.Now().Add(finalReadTimeout))
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.timeouts.received(time.Now())
	}
	return n, err
}
