package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is a command that has come whole to a host.
type call struct {
	at       time.Time
	conn     int // number of the connection
	position int // of the command on its connection, from 1
	words    []string
}

// host is a stand-in of a host. answer is called on a goroutine of its own for each command; it writes to the
// connection by write.
type host struct {
	listener net.Listener
	answer   func(c call, write func(text string))

	mu       sync.Mutex
	accepted int
	conns    map[int]net.Conn // connections that are open
	calls    []call
}

// newHost starts a host at a free loopback address.
func (r *rig) newHost(answer func(c call, write func(text string))) *host {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	r.require(err, "host")
	h := &host{listener: listener, answer: answer, conns: map[int]net.Conn{}}
	go h.acceptFrom(listener)
	return h
}

// acceptFrom accepts connections until the listener is closed.
func (h *host) acceptFrom(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go h.serve(conn)
	}
}

func (h *host) address() string { return h.listener.Addr().String() }

// keepConn keeps a connection that begins, or that ends if conn is nil.
func (h *host) keepConn(number int, conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if conn != nil {
		h.conns[number] = conn
	} else {
		delete(h.conns, number)
	}
}

// serve serves one connection until it ends.
func (h *host) serve(conn net.Conn) {
	defer conn.Close()
	h.mu.Lock()
	h.accepted++
	number := h.accepted
	h.mu.Unlock()
	h.keepConn(number, conn)
	defer h.keepConn(number, nil)
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		conn.Write([]byte(text))
	}
	reader := bufio.NewReader(conn)
	for position := 1; ; position++ {
		words, err := readCommand(reader)
		if err != nil {
			return
		}
		c := call{at: time.Now(), conn: number, position: position, words: words}
		h.mu.Lock()
		h.calls = append(h.calls, c)
		h.mu.Unlock()
		go h.answer(c, write)
	}
}

// callsSoFar returns the commands that have come to the host.
func (h *host) callsSoFar() []call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]call(nil), h.calls...)
}

// value encodes a good answer to a request, with a load report.
func value(text string, utilization float64) string {
	return "*3\r\n" + bulk(text) + "$-1\r\n" + bulk(fmt.Sprintf("utilization=%.2f", utilization))
}

// agent is a stand-in of a discovery agent with a list that does not change.
type agent struct {
	listener net.Listener
	list     object
}

// newAgent starts an agent whose list has the hosts as warm and active.
func (r *rig) newAgent(hosts ...*host) *agent {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	r.require(err, "agent")
	servers := []object{}
	for i, h := range hosts {
		servers = append(servers, object{"id": fmt.Sprintf("s-%d", i), "addr": h.address(), "zone": "a", "kind": "m",
			"cell": 0, "state": "active", "weight": 1.0, "started_ms": 0})
	}
	a := &agent{listener: listener, list: object{"version": 1, "full": true, "servers": servers}}
	go http.Serve(listener, a)
	return a
}

func (a *agent) address() string { return a.listener.Addr().String() }

// ServeHTTP answers a call for the list. A watch stays open; an empty line comes every 2 s.
func (a *agent) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	json.NewEncoder(w).Encode(a.list)
	if request.URL.Query().Get("watch") == "" {
		return
	}
	for {
		w.(http.Flusher).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
		if _, err := w.Write([]byte("\n")); err != nil {
			return
		}
	}
}
