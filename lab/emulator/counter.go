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

// Counter emulates the gateways' shared counter: a Redis server with named numbers and the commands PING, INCRBYFLOAT
// and PEXPIRE NX. Counter is an actor; its methods may be called by several goroutines at once.
type Counter struct {
	*actor.Actor
	listener net.Listener
	entries  map[string]*counterEntry // by name
	conns    map[net.Conn]bool
	Silent   bool // commands are accepted but not answered; set it within Ask
	calls    int  // commands received so far

	accepting sync.WaitGroup // the goroutine of acceptConns
	serving   sync.WaitGroup // goroutines of the connections
}

// counterEntry is a named number.
type counterEntry struct {
	value     float64
	expiresAt int64 // ns of actor.Now; 0: never expires
}

// NewCounter starts a counter at a free loopback port.
func NewCounter() (*Counter, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting the shared counter: %w", err)
	}
	counter := &Counter{
		Actor:    actor.New(),
		listener: listener,
		entries:  map[string]*counterEntry{},
		conns:    map[net.Conn]bool{},
	}
	counter.accepting.Go(counter.acceptConns)
	return counter, nil
}

// acceptConns accepts connections until the listener is closed.
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

// Addr returns the address at which the counter listens.
func (c *Counter) Addr() string { return c.listener.Addr().String() }

// CommandCount returns the number of commands received so far.
func (c *Counter) CommandCount() (n int) {
	c.Ask(func() { n = c.calls })
	return n
}

// ResetConns closes all connections with a TCP reset.
func (c *Counter) ResetConns() {
	c.Ask(func() {
		for conn := range c.conns {
			resetConn(conn)
		}
	})
}

// Close stops the counter and waits until its goroutines have ended.
func (c *Counter) Close() {
	c.listener.Close()
	c.accepting.Wait()
	c.ResetConns()
	c.serving.Wait()
	c.Actor.Stop()
}

// serve answers the commands of one connection until it ends.
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

// execute runs a command and returns its reply, which is empty while the counter is silent.
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

// increment adds an amount to a number, which is 0 if it does not exist, and returns the reply of INCRBYFLOAT.
func (c *Counter) increment(name, amountText string) []byte {
	amount, err := strconv.ParseFloat(amountText, 64)
	if err != nil {
		return redcon.AppendError(nil, "ERR value is not a valid float")
	}
	entry := c.lookUp(name)
	if entry == nil {
		entry = &counterEntry{}
		c.entries[name] = entry
	}
	entry.value += amount
	return redcon.AppendBulkString(nil, strconv.FormatFloat(entry.value, 'f', -1, 64))
}

// expireIfUnset sets the expiry of a number that has none yet, and returns the reply of PEXPIRE NX.
func (c *Counter) expireIfUnset(name, milliseconds string) []byte {
	entry := c.lookUp(name)
	if entry == nil || entry.expiresAt > 0 {
		return redcon.AppendInt(nil, 0)
	}
	ttl, _ := strconv.Atoi(milliseconds)
	entry.expiresAt = actor.Now() + int64(ttl)*int64(time.Millisecond)
	return redcon.AppendInt(nil, 1)
}

// lookUp returns the entry with a name, or nil if there is none. It deletes an entry that has expired.
func (c *Counter) lookUp(name string) *counterEntry {
	entry := c.entries[name]
	if entry != nil && entry.expiresAt > 0 && actor.Now() >= entry.expiresAt {
		delete(c.entries, name)
		return nil
	}
	return entry
}
