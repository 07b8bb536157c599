package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"ravensill/internal/sockets"
)

const (
	maxHeadBytes = 64 << 10 // bytes before the body
	maxListBytes = 32 << 20 // of one list: 87,000 hosts, indented
	maxKeptBytes = 1 << 20  // of a list that was handed on: a larger buffer is let go of
)

// Watch follows the list after a version until its connection or the context ends, and tells why it did. news
// takes each list, alive is called for any bytes of the body: empty lines come while nothing changes. Both are
// called by one goroutine. The pace and the feed are the watch's own.
func Watch(ctx context.Context, system sockets.System, addr string, after int64, pace *Timeouts, feed *PendingRead, alive func(), news func(list string)) (err error) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "discovery", "error", p, "stack", debug.Stack())
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	// A connection of its own for each watch: no proxy of the environment, nothing kept for later, no redirects.
	pace.enter(connecting, time.Now())
	dialer := &net.Dialer{Deadline: pace.deadline()}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			c, err := system.Dial(ctx, dialer, addr)
			if err != nil {
				return nil, err
			}
			s, err := newWatchedConn(system, c)
			if err != nil {
				c.Close()
				return nil, err
			}
			pace.enter(asked, time.Now())
			feed.socket.Store(s)
			return timedConn{s, pace}, nil
		}}
	defer t.CloseIdleConnections()
	defer feed.socket.Store(nil)
	url := fmt.Sprintf("http://%s/v1/servers?watch=1&after=%d", addr, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("User-Agent", "") // none
	answer, err := t.RoundTrip(req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("answer is %.40q", answer.Status)
	}
	pace.enter(following, time.Now())
	return splitValues(answer.Body, alive, news, func(began bool) {
		if began {
			pace.enter(inValue, time.Now())
		} else {
			pace.enter(following, time.Now())
		}
	})
}

// patient is a connection of which a read gives up by the pace.
type timedConn struct {
	net.Conn
	timeouts *Timeouts
}

func (c timedConn) Read(p []byte) (n int, err error) {
	c.SetReadDeadline(c.timeouts.deadline())
	if n, err = c.Conn.Read(p); n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.SetReadDeadline(time.Now().Add(lastLook))
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.timeouts.heard(time.Now())
	}
	return n, err
}

// text takes a JSON value as it was written, with one copy.
type rawValue string

func (t *rawValue) UnmarshalJSON(value []byte) error {
	*t = rawValue(value)
	return nil
}

// split hands on each JSON value of a body once it is whole. White space alone lies between values, as little or
// as much as there is. value is told whether one that is not whole has begun.
func splitValues(r io.Reader, alive func(), news func(list string), value func(began bool)) error {
	b := &body{Reader: r, alive: alive, value: value, room: maxListBytes}
	for dec := json.NewDecoder(b); ; {
		var list rawValue
		if err := dec.Decode(&list); err != nil {
			return err
		}
		news(string(list))
		rest, _ := io.ReadAll(dec.Buffered())
		rest = bytes.TrimLeft(rest, space)
		b.began, b.room = len(rest) > 0, maxListBytes-len(rest)
		if len(list) > maxKeptBytes {
			dec = json.NewDecoder(io.MultiReader(bytes.NewReader(rest), b))
		}
		value(false) // the next one has its own time
		value(b.began)
	}
}

const space = " \t\r\n"

// body reads for the decoder. It leaves out what lies between values, which the decoder would keep until the next
// one, and bounds the size of a value.
type body struct {
	io.Reader
	alive func()
	value func(began bool)
	began bool // a value that is not whole
	room  int  // bytes that it may take yet
}

func (b *body) Read(p []byte) (int, error) {
	for {
		n, err := b.Reader.Read(p)
		if n > 0 {
			b.alive()
		}
		if !b.began {
			n = copy(p, bytes.TrimLeft(p[:n], space))
			if b.began = n > 0; b.began {
				b.value(true)
			}
		}
		if b.room -= n; b.room < 0 {
			return 0, errors.New("list too long")
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}
