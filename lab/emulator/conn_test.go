package emulator

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

const waitLimit = 20 * time.Second

// callArguments are the names and values of a call.
const callArguments = "c=lookup,t=team,d=1000,units=1,spread=1,first=0"

// testConn is a connection of a test.
type testConn struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection.
func dial(t *testing.T, addr string) *testConn {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(waitLimit))
	return &testConn{conn, bufio.NewReader(conn)}
}

// send sends a command.
func (c *testConn) send(words ...string) {
	command := redcon.AppendArray(nil, len(words))
	for _, word := range words {
		command = redcon.AppendBulkString(command, word)
	}
	c.Write(command)
}

// readAnswer returns one answer's raw bytes, with line ends shown as bars.
func (c *testConn) readAnswer() string {
	var answer []byte
	for {
		next, err := c.reader.ReadByte()
		if err != nil {
			return string(answer) + "end"
		}
		answer = append(answer, next)
		if n, _ := redcon.ReadNextRESP(answer); n > 0 {
			return strings.ReplaceAll(string(answer), "\r\n", "|")
		}
	}
}
