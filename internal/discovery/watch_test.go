package discovery

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// A watch that stands open and brings nothing ends long before what it should have told counts as told.
func TestSilentWatch(t *testing.T) {
	for _, text := range []string{"", head + "1\r\n\n\r\n"} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			if c, err := l.Accept(); err == nil {
				defer c.Close()
				io.WriteString(c, text)
				io.Copy(io.Discard, c) // until the other side ends it
			}
		}()
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		if err := Watch(ctx, l.Addr().String(), 1, func([]byte) {}); err == nil || ctx.Err() != nil {
			t.Errorf("after %q: %v, %v", text, err, ctx.Err())
		}
		stop()
	}
}
