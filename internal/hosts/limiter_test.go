package hosts

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clock"
	"ravensill/internal/golden"
)

// serveAsFullStore rejects the first connection as a full store does, and answers all commands of later ones. It sends
// the last word of each command on commands.
func serveAsFullStore(t *testing.T, commands chan<- string) (addr string) {
	return serveConns(t, func(number int, c *net.TCPConn) {
		if number == 0 {
			io.WriteString(c, "-BUSY\r\n")
			c.Close()
			return
		}
		answerEach(c, func(command string) bool {
			commands <- strings.Fields(command)[2]
			io.WriteString(c, "*1\r\n$1\r\nv\r\n")
			return true
		})
	})
}

// Attempts wait for the one connection of the quota, urgent ones first, and are rejected at once if that takes too
// long. A connection that the store refuses fails no attempt.
func TestLimiterQueuesAttemptsWithinQuota(t *testing.T) {
	const wait = 40 * time.Second
	commands := make(chan string, 9)
	loop := newTestLoop(t, serveAsFullStore(t, commands), 99)
	loop.useRealTime()
	allowed := 1
	limiter := loop.LimitConnections(1, 19*time.Second, func(clock.Instant) int { return allowed }, func(time.Duration) {})
	send := func(name string) {
		limiter.SetUrgent(name == "urgent")
		command := Command{Head: []byte("*2\r\n"), BeforeTimeLeft: []byte(name)}
		onResult := func(event gateway.Event, value []byte, _ clock.Instant) {
			loop.results = append(loop.results, fmt.Sprintf("%s: result %d, value %q, retry later %t",
				name, event.Result, value, limiter.RetryAfter() > 0))
		}
		loop.Send(1, command, loop.Transport.now().Add(wait), noWriteDeadline, onResult)
		loop.Flush()
	}
	send("a")
	send("b")
	send("urgent")
	if open, demand := limiter.Usage(); open != 1 || demand != 3 {
		t.Errorf("%d connections for a demand of %d", open, demand)
	}
	if limiter.timerSet {
		t.Error("a timer is set though only an answer can serve the queue")
	}
	loop.runUntilResults(3)
	limiter.serviceTime = float64(time.Hour)
	send("c") // gets the idle connection after its reuse delay
	send("late")
	loop.runUntilResults(5)
	allowed = 0 // idle connections are closed
	loop.Flush()
	open, _ := limiter.Usage()
	golden.Check(t, fmt.Sprintf("%sstore received %.3s... first, %d refused, %d rejected, %d open\n",
		loop.trace(), <-commands, limiter.RefusedConnections, limiter.RejectedAttempts, open))
}
