package emulator

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"ravensill/lab/actor"
)

// Counter emulates the shared counter: named numbers, with INCRBYFLOAT and PEXPIRE NX as in Redis.
type Counter struct {
	*actor.Actor
	listener net.Listener
	numbers  map[string]*counterEntry
	conns    map[net.Conn]bool
	Silent   bool // commands are accepted and not answered; set it within Ask
	calls    int

	accepting sync.WaitGroup
	serving   sync.WaitGroup
}

// counterEntry is one number.
type counterEntry struct {
	value     float64
	expiresAt int64 // ns of actor.Now; 0: never
}

// NewCounter starts a counter on a loopback port.
func NewCounter() (*Counter, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("counter: %w", err)
	}
	counter := &Counter{
		Actor:    actor.New(),
		listener: listener,
		numbers:  map[string]*counterEntry{},
		conns:    map[net.Conn]bool{},
	}
	counter.accepting.Go(counter.acceptConns)
	return counter, nil
}

// acceptConns serves connections until the listener is closed.
func (c *Counter) acceptConns() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.Do(func() { c.conns[conn] = true })
		c.serving.Go(func() { c.serve(conn) })
	}
}

// Addr returns the counter's address.
func (c *Counter) Addr() string { return c.listener.Addr().String() }

// CommandCount returns the number of commands received.
func (c *Counter) CommandCount() (n int) {
	c.Ask(func() { n = c.calls })
	return n
}

// ResetConns resets all connections.
func (c *Counter) ResetConns() {
	c.Ask(func() {
		for conn := range c.conns {
			resetConn(conn)
		}
	})
}

// Close ends the counter and waits for its goroutines.
func (c *Counter) Close() {
	c.listener.Close()
	c.accepting.Wait()
	c.ResetConns()
	c.serving.Wait()
	c.Actor.Stop()
}

// serve answers the commands of one connection.
func (c *Counter) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		c.Do(func() { delete(c.conns, conn) })
	}()
	reader := redcon.NewReader(conn)
	for {
		command, err := reader.ReadCommand()
		if err != nil {
			return
		}
		var reply []byte
		if !c.Ask(func() { reply = c.execute(command.Args) }) {
			return
		}
		if _, err := conn.Write(reply); err != nil {
			return
		}
	}
}

// execute executes a command and returns its reply.
func (c *Counter) execute(args [][]byte) []byte {
	c.calls++
	if c.Silent {
		return nil
	}
	switch verb := strings.ToUpper(string(args[0])); {
	case verb == "PING":
		return redcon.AppendString(nil, "PONG")
	case verb == "INCRBYFLOAT" && len(args) == 3:
		return c.increment(string(args[1]), string(args[2]))
	case verb == "PEXPIRE" && len(args) == 4 && strings.EqualFold(string(args[3]), "NX"):
		return c.expireIfUnset(string(args[1]), string(args[2]))
	}
	return redcon.AppendError(nil, "ERR unknown command")
}

// increment adds an amount to a number and returns the reply of INCRBYFLOAT.
func (c *Counter) increment(name, amountText string) []byte {
	amount, err := strconv.ParseFloat(amountText, 64)
	if err != nil {
		return redcon.AppendError(nil, "ERR value is not a valid float")
	}
	entry := c.lookUp(name)
	if entry == nil {
		entry = &counterEntry{}
		c.numbers[name] = entry
	}
	entry.value += amount
	return redcon.AppendBulkString(nil, strconv.FormatFloat(entry.value, 'f', -1, 64))
}

// expireIfUnset sets the expiry of a number that has none and returns the reply of PEXPIRE NX.
func (c *Counter) expireIfUnset(name, milliseconds string) []byte {
	entry := c.lookUp(name)
	if entry == nil || entry.expiresAt > 0 {
		return redcon.AppendInt(nil, 0)
	}
	ttl, _ := strconv.Atoi(milliseconds)
	entry.expiresAt = actor.Now() + int64(ttl)*int64(time.Millisecond)
	return redcon.AppendInt(nil, 1)
}

// lookUp returns the entry of a number that has not expired; nil if there is none.
func (c *Counter) lookUp(name string) *counterEntry {
	entry := c.numbers[name]
	if entry != nil && entry.expiresAt > 0 && actor.Now() >= entry.expiresAt {
		delete(c.numbers, name)
		return nil
	}
	return entry
}
