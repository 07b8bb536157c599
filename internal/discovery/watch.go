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

// Watch follows the list of the agent at an address from a version on. It returns the reason for which it ended: the
// connection, a timeout or the context. It calls received for any bytes of the body, also those of the empty lines that
// come while nothing changes, and update for each list, both from one goroutine. timeouts and pending belong to this
// watch alone.
func Watch(ctx context.Context, system sockets.System, address string, after int64, timeouts *Timeouts,
	pending *PendingRead, received func(), update func(list string)) (err error) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "discovery", "error", p, "stack", debug.Stack())
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	transport := newTransport(system, timeouts, pending)
	defer transport.CloseIdleConnections()
	defer pending.conn.Store(nil)
	url := fmt.Sprintf("http://%s/v1/servers?watch=1&after=%d", address, after)
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
		received: received,
		update:   update,
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
