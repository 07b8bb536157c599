package emulator

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"ravensill/lab/actor"
)

// Counter stands in for the shared counter: named numbers, with INCRBYFLOAT and PEXPIRE NX as in Redis.
type Counter struct {
	*actor.Actor
	listener net.Listener
	numbers  map[string]*counterEntry
	conns    map[net.Conn]bool
	Silent   bool // accepts commands and answers none; to be set within Ask
	calls    int
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
		return nil, err
	}
	counter := &Counter{Actor: actor.New(), listener: listener, numbers: map[string]*counterEntry{}, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			counter.Do(func() { counter.conns[conn] = true })
			go counter.serve(conn)
		}
	}()
	return counter, nil
}

// Addr returns the counter's address.
func (c *Counter) Addr() string { return c.listener.Addr().String() }

// Calls returns the number of commands received.
func (c *Counter) Calls() (n int) {
	c.Ask(func() { n = c.calls })
	return n
}

// Reset resets all connections.
func (c *Counter) Reset() {
	c.Ask(func() {
		for conn := range c.conns {
			resetConn(conn)
		}
	})
}

// Close ends the counter.
func (c *Counter) Close() {
	c.listener.Close()
	c.Reset()
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
		amount, err := strconv.ParseFloat(string(args[2]), 64)
		if err != nil {
			return redcon.AppendError(nil, "ERR value is not a valid float")
		}
		entry := c.lookUp(string(args[1]))
		if entry == nil {
			entry = &counterEntry{}
			c.numbers[string(args[1])] = entry
		}
		entry.value += amount
		return redcon.AppendBulkString(nil, strconv.FormatFloat(entry.value, 'f', -1, 64))
	case verb == "PEXPIRE" && len(args) == 4 && strings.EqualFold(string(args[3]), "NX"):
		entry, ms := c.lookUp(string(args[1])), 0
		if ms, _ = strconv.Atoi(string(args[2])); entry == nil || entry.expiresAt > 0 {
			return redcon.AppendInt(nil, 0)
		}
		entry.expiresAt = actor.Now() + int64(ms)*int64(time.Millisecond)
		return redcon.AppendInt(nil, 1)
	}
	return redcon.AppendError(nil, "ERR unknown command")
}

// lookUp returns a number that has not expired; nil: there is none.
func (c *Counter) lookUp(name string) *counterEntry {
	entry := c.numbers[name]
	if entry != nil && entry.expiresAt > 0 && actor.Now() >= entry.expiresAt {
		delete(c.numbers, name)
		return nil
	}
	return entry
}
