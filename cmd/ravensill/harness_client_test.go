package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// testClient is one client connection to a gateway.
type testClient struct {
	*gatewayProcess
	net.Conn
	reader *bufio.Reader
}

// connect opens a client connection.
func (g *gatewayProcess) connect() *testClient {
	conn, err := net.Dial("tcp4", g.addr)
	if err != nil {
		g.Fatal(err)
	}
	g.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(waitLimit))
	return &testClient{g, conn, bufio.NewReader(conn)}
}

func (c *testClient) send(commands ...string) { io.WriteString(c.Conn, strings.Join(commands, "")) }

// readAnswer returns the next answer: the value, or the line of any other answer. If the connection has ended, it
// returns the text of the error.
func (c *testClient) readAnswer() string {
	elements, err := readReply(c.reader)
	if err != nil {
		return err.Error()
	}
	return elements[0]
}

// roundTrip sends a command and returns its answer.
func (c *testClient) roundTrip(command string) string {
	c.send(command)
	return c.readAnswer()
}

var lastRequestID int

// requestCommand encodes a request of a customer in a request class, on the quota plan team, with a new id and an
// optional body.
func requestCommand(class string, customer int, body ...string) string {
	lastRequestID++
	verb := "CALL.POST"
	if class == "lookup" || class == "quick" {
		verb = "CALL.GET"
	}
	head := []string{
		verb,
		fmt.Sprintf("%016x", customer),
		fmt.Sprint("id", lastRequestID),
		"c=" + class + ",t=team,d=3000,k=00ff,units=1,spread=1,first=0",
	}
	return respArray(append(head, body...)...)
}

// waitUntilHalfClosed waits until the gateway has closed its sending side of the connection. It reads no bytes.
func (c *testClient) waitUntilHalfClosed() {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		c.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		for n := 0; n == 0; {
			n, err = unix.Poll(polled, int(waitLimit.Milliseconds()))
			if err == unix.EINTR {
				n, err = 0, nil
			} else if n == 0 {
				err = errors.New("the connection is not half-closed")
				return
			}
		}
	})
	if err != nil {
		c.Fatal(err)
	}
}
