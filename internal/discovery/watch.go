package discovery

import (
	"context"
	"fmt"
	"log"
	"net"
	"runtime/debug"
	"time"

	"ravensill/internal/ring"
)

const (
	connect = time.Second
	// An empty line comes every 2 s. A watch can stand open and bring nothing more, while what it should have told
	// counts as told after 6 s: after so long without a line it is asked for anew.
	quiet = 3 * time.Second
)

// Watch follows the list after a version until its connection or the context ends, and tells why it did. news
// is called for each line, also the empty ones that come while nothing changes.
func Watch(ctx context.Context, addr string, after int64, news func(line []byte)) (err error) {
	defer func() {
		if p := recover(); p != nil {
			log.Printf("event=panic where=discovery error=%q stack=%q", p, debug.Stack())
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	d := net.Dialer{Timeout: connect}
	conn, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	link, err := ring.NewLink(conn.(*net.TCPConn), 64<<10, 4<<10)
	if err != nil {
		return err
	}
	link.Out.Write(fmt.Appendf(nil, "GET /v1/servers?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n", after, addr))
	if err := link.Flush(); err != nil {
		return err
	}
	var stream Stream
	for {
		conn.SetReadDeadline(time.Now().Add(quiet))
		if err := link.Read(); err != nil {
			return err
		}
		for link.In.Len() > 0 {
			p := link.In.Head()
			if err := stream.Feed(p, news); err != nil {
				return err
			}
			link.In.Drop(len(p))
		}
	}
}
