package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// readReply reads one RESP value. It returns the elements of an array, or the single element of any other value: the
// content of a bulk string, or the line with its type byte.
func readReply(r *bufio.Reader) ([]string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	n, _ := strconv.Atoi(line[1:])
	switch line[0] {
	case '*':
		var elements []string
		for range n {
			element, err := readReply(r)
			if err != nil {
				return nil, err
			}
			elements = append(elements, element...)
		}
		return elements, nil
	case '$':
		body := make([]byte, n+2)
		_, err := io.ReadFull(r, body)
		return []string{string(body[:n])}, err
	}
	return []string{line}, nil
}

// respArray encodes elements as a RESP array of bulk strings.
func respArray(elements ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(elements))
	for _, element := range elements {
		text += respBulk(element)
	}
	return text
}

// respBulk encodes a RESP bulk string.
func respBulk(value string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(value), value) }

// successReply encodes a host's reply with a value and a load report.
func successReply(value string) string {
	return "*3\r\n" + respBulk(value) + respBulk("used=3") + respBulk("utilization=0.5")
}

// testHost is an emulated host of the back end. reply returns the bytes to write in answer to a command. If they end
// with "close", that word is not written, and the connection is closed after the other bytes.
type testHost struct {
	net.Listener
	reply        func(command []string) string
	mu           sync.Mutex
	received     [][]string    // commands since the last takeReceived
	disconnected chan struct{} // receives a value each time the gateway closes a connection
	inOrder      bool          // whether replies are written in the order of the commands
}

// newHost starts a host on a free loopback port.
func newHost(t *testing.T, reply func(command []string) string) *testHost {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	host := &testHost{Listener: listener, reply: reply, disconnected: make(chan struct{}, 100)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go host.serve(conn)
		}
	}()
	return host
}

func (h *testHost) serve(conn net.Conn) {
	defer conn.Close()
	for r := bufio.NewReader(conn); ; {
		command, err := readReply(r)
		if err != nil {
			h.disconnected <- struct{}{}
			return
		}
		h.mu.Lock()
		h.received = append(h.received, command)
		h.mu.Unlock()
		respond := func() {
			text, closeAfter := strings.CutSuffix(h.reply(command), "close")
			io.WriteString(conn, text)
			if closeAfter {
				conn.Close()
			}
		}
		if h.inOrder {
			respond()
		} else {
			go respond()
		}
	}
}

// takeReceived returns the commands received since the last call.
func (h *testHost) takeReceived() [][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	commands := h.received
	h.received = nil
	return commands
}

// valueHost starts a host that answers each command with the value v.
func valueHost(t *testing.T) *testHost {
	return newHost(t, func([]string) string { return successReply("v") })
}

// newBlockingHost starts a host that delays the answer to the command of customer 1, of which a test may send only one:
// received is closed when that command arrives, and it is answered once the test closes release. All other commands are
// answered at once.
func newBlockingHost(t *testing.T) (host *testHost, received, release chan struct{}) {
	received, release = make(chan struct{}), make(chan struct{})
	return newHost(t, func(command []string) string {
		if command[1] == "0000000000000001" {
			close(received)
			<-release
		}
		return successReply("v")
	}), received, release
}
