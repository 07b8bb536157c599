package hosts

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	clientWait    = int64(20 * time.Second)       // of the attempts of far.ask
	stallLimit    = int64(150 * time.Millisecond) // the process may be held up for so long between its clock and a write
	deadlineSlack = int64(150 * time.Millisecond) // by which the time told may exceed what is left
)

// readTold reads a command without a body from a host's side, and returns the time that it tells the host, in nanoseconds.
func (f *scriptedHost) readTold(c *net.TCPConn) int64 {
	f.Helper()
	reader := bufio.NewReader(c)
	text := ""
	for range 2 { // the lines before the tail
		line, err := reader.ReadString('\n')
		if err != nil {
			f.Fatalf("%q, then %v", text+line, err)
		}
		text = strings.TrimSpace(line)
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.Fatalf("no time in %q: %v", text, err)
	}
	return milliseconds * nanosecondsPerMillisecond
}

// The time that a command tells its host is what is left where its bytes are written, not where the attempt was decided on:
// without that, a host works on for a client that is gone by as much as the attempt waited for its connection.
func TestCommandTellsTimeLeftAtWrite(t *testing.T) {
	const wait = int64(7 * time.Second)
	tests := []struct {
		name  string
		write func(f *scriptedHost) *net.TCPConn // makes an attempt, and lets wait pass before its command is written
	}{
		{"new connection", func(f *scriptedHost) *net.TCPConn {
			up := make(chan struct{})
			dial := f.Dial
			f.Dial = func(addr string) (net.Conn, error) {
				<-up
				return dial(addr)
			}
			f.ask("a", 0)
			f.now.Add(wait)
			close(up)
			return f.up()
		}},
		{"idle connection, loop held up", func(f *scriptedHost) *net.TCPConn {
			c := f.first()
			f.ask("b", 0)
			f.now.Add(wait)
			f.Flush()
			return c
		}},
		{"retry on another connection", func(f *scriptedHost) *net.TCPConn {
			c := f.first()
			f.ask("b", 0)
			f.now.Add(wait / 2)
			c.Close()       // before a byte of the attempt is written: it is sent again
			end := <-f.work // has come, and the loop is told later
			f.Flush()
			end()
			f.now.Add(wait - wait/2)
			return f.up()
		}},
		{"queue of a connection quota", func(f *scriptedHost) *net.TCPConn {
			allowed := 0
			limiter := f.LimitConnections(0, 19*time.Second, func(int64) int { return allowed }, func(int64) {})
			f.ask("a", 0)
			f.now.Add(wait)
			allowed = 1
			limiter.serveQueue()
			for f.pool(1).dialing > 0 {
				f.pass(1)
			}
			c := <-f.conns
			f.now.Add(limitedReuseDelay)
			f.Flush()
			return c
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newScriptedHost(t)
			c := test.write(f)
			left := clientWait - wait
			if told := f.readTold(c); told > left || told < left-int64(10*time.Millisecond) {
				t.Errorf("told %v, %v left", time.Duration(told), time.Duration(left))
			}
		})
	}
}

// A process that is held up between its clock and the write tells too much by no more than the slack.
func TestCommandTellsTimeLeftUnderStall(t *testing.T) {
	f := newScriptedHost(t)
	c := f.first()
	f.ask("b", 0)
	f.now.Add(int64(time.Second))
	stall := func() { f.now.Add(stallLimit) } // after the reading of the clock that the command is written by
	reading := f.now.Load()
	f.Transport.now = func() int64 {
		defer stall()
		return reading
	}
	f.Flush()
	left := clientWait - (f.now.Load() - reading) - int64(time.Second)
	if told := f.readTold(c); told > left+deadlineSlack {
		t.Errorf("told %v, %v left and %v of slack", time.Duration(told), time.Duration(left), time.Duration(deadlineSlack))
	}
}
