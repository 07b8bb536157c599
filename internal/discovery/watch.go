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

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// WatchOptions are the options of one watch. Its functions are called from one goroutine.
type WatchOptions struct {
	System       sockets.System
	Address      string // of the agent
	AfterVersion int64  // version of the endpoint list: only later ones are wanted

	Timeouts *Timeouts    // of this watch alone
	Pending  *PendingRead // of this watch alone

	// OnReceived is called for any bytes of the body, also those of the empty lines that come while nothing changes.
	OnReceived func()
	// OnList is called for each list or change of it.
	OnList func(list string)
}

// Watch follows the endpoint list of an agent. It returns the reason for which it ended: the connection, a timeout or
// the context.
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
	request.Header.Set("User-Agent", "") // an empty one is not sent
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("answer is %.40q", response.Status)
	}
	timeouts.enter(following, time.Now())
	reader := &valueReader{
		body:     response.Body,
		received: options.OnReceived,
		update:   options.OnList,
		phase:    func(phase phase) { timeouts.enter(phase, time.Now()) },
	}
	return reader.run()
}

// newTransport returns the transport of one watch, which uses no proxy, keeps no connection and follows no redirect.
func newTransport(system sockets.System, timeouts *Timeouts, pending *PendingRead) *http.Transport {
	timeouts.enter(connecting, time.Now())
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
		timeouts.enter(requested, time.Now())
		pending.conn.Store(watched)
		return timedConn{watched, timeouts}, nil
	}
	return &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// timedConn is a connection whose reads have the deadlines of a watch.
type timedConn struct {
	net.Conn
	timeouts *Timeouts
}

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
