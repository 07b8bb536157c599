package standin

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"ravensill/lab/task"
)

// Counter stands in for the shared counter: numbers by name, with INCRBYFLOAT and PEXPIRE NX as Redis has them.
type Counter struct {
	*task.Task
	ln      net.Listener
	numbers map[string]*number
	conns   map[net.Conn]bool
	Silent  bool // takes calls and answers none; set it by an order
	calls   int
}

type number struct {
	value   float64
	expires int64 // 0 never
}

// NewCounter starts one.
func NewCounter() (*Counter, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Counter{Task: task.New(), ln: ln, numbers: map[string]*number{}, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			k.Do(func() { k.conns[c] = true })
			go k.read(c)
		}
	}()
	return k, nil
}

func (k *Counter) Addr() string { return k.ln.Addr().String() }

// Calls tells how many commands came.
func (k *Counter) Calls() (n int) {
	k.Ask(func() { n = k.calls })
	return n
}

// Reset ends all connections.
func (k *Counter) Reset() {
	k.Ask(func() {
		for c := range k.conns {
			reset(c)
		}
	})
}

// Close ends it.
func (k *Counter) Close() {
	k.ln.Close()
	k.Reset()
	k.Task.Stop()
}

func (k *Counter) read(c net.Conn) {
	defer func() {
		c.Close()
		k.Do(func() { delete(k.conns, c) })
	}()
	for r := redcon.NewReader(c); ; {
		cmd, err := r.ReadCommand()
		if err != nil {
			return
		}
		var reply []byte
		if !k.Ask(func() { reply = k.run(cmd.Args) }) {
			return
		}
		if _, err := c.Write(reply); err != nil {
			return
		}
	}
}

func (k *Counter) run(args [][]byte) []byte {
	k.calls++
	if k.Silent {
		return nil
	}
	switch verb := strings.ToUpper(string(args[0])); {
	case verb == "PING":
		return redcon.AppendString(nil, "PONG")
	case verb == "INCRBYFLOAT" && len(args) == 3:
		by, err := strconv.ParseFloat(string(args[2]), 64)
		if err != nil {
			return redcon.AppendError(nil, "ERR value is not a valid float")
		}
		n := k.number(string(args[1]))
		if n == nil {
			n = &number{}
			k.numbers[string(args[1])] = n
		}
		n.value += by
		return redcon.AppendBulkString(nil, strconv.FormatFloat(n.value, 'f', -1, 64))
	case verb == "PEXPIRE" && len(args) == 4 && strings.EqualFold(string(args[3]), "NX"):
		n, ms := k.number(string(args[1])), 0
		if ms, _ = strconv.Atoi(string(args[2])); n == nil || n.expires > 0 {
			return redcon.AppendInt(nil, 0)
		}
		n.expires = task.Now() + int64(ms)*int64(time.Millisecond)
		return redcon.AppendInt(nil, 1)
	}
	return redcon.AppendError(nil, "ERR unknown command")
}

func (k *Counter) number(name string) *number {
	n := k.numbers[name]
	if n != nil && n.expires > 0 && task.Now() >= n.expires {
		delete(k.numbers, name)
		return nil
	}
	return n
}
