package hosts

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// With a quota of one connection a send waits for the one that is there, urgent ones first; one whose turn would come too
// late is turned away at once. A store that refuses is asked again; none of its refusals ends a send.
func TestConnectionQuota(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	got := make(chan string, 9)
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if n == 0 { // the store is full
				io.WriteString(c, "-BUSY\r\n")
				c.Close()
				continue
			}
			go func() {
				for buf := make([]byte, 99); ; {
					n, err := c.Read(buf)
					if err != nil {
						return
					}
					got <- strings.Fields(string(buf[:n]))[2]
					io.WriteString(c, "*1\r\n$1\r\nv\r\n")
				}
			}()
		}
	}()
	d := newTestLoop(t, l.Addr().String(), 99)
	clock := time.Now()
	d.Transport.now = func() int64 { return int64(time.Since(clock)) }
	allowed := 1
	g := d.LimitConnections(1, 19*time.Second, func(int64) int { return allowed }, func(int64) {})
	ask := func(name string, wait time.Duration) {
		g.SetUrgent(name == "urgent")
		command := Command{Head: []byte("*2\r\n"), Before: []byte(name)}
		d.Send(1, command, d.Transport.now()+int64(wait), 1e18, func(e gateway.Event, value []byte, _ int64) {
			d.out = append(d.out, fmt.Sprintf("%s: result %d, value %q, come back %t", name, e.Result, value, g.RetryAfter() > 0))
		})
		d.Flush()
	}
	ask("a", 40*time.Second)
	ask("b", 40*time.Second)
	ask("urgent", 40*time.Second)
	if held, use := g.Usage(); held != 1 || use != 3 {
		t.Errorf("%d connections, %d in use or waited for", held, use)
	}
	if g.timerSet {
		t.Error("the loop is woken again and again while only an answer can help")
	}
	d.until(3)
	g.serviceTime = float64(time.Hour)
	ask("c", 40*time.Second) // a connection rests, and is its at once
	ask("late", 40*time.Second)
	d.until(5)
	allowed = 0 // recalled: what is free ends
	d.Flush()
	held, _ := g.Usage()
	golden.Check(t, fmt.Sprintf("%s\nstore saw %.3s... first, %d refused, %d turned away, %d held\n", strings.Join(d.out, "\n"), <-got, g.Refused, g.Rejected, held))
}
