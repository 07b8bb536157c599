package emulator

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

const waitTimeout = 20 * time.Second

// callArguments is the argument list of a valid call.
const callArguments = "c=lookup,t=team,d=1000,units=1,spread=1,first=0"

// testConn is a test's connection to an emulator.
type testConn struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection that is closed at the end of the test and fails after waitTimeout.
func dial(t *testing.T, addr string) *testConn {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(waitTimeout))
	return &testConn{conn, bufio.NewReader(conn)}
}

// send sends a RESP command.
func (c *testConn) send(words ...string) {
	command := redcon.AppendArray(nil, len(words))
	for _, word := range words {
		command = redcon.AppendBulkString(command, word)
	}
	c.Write(command)
}

// readAnswer returns the raw bytes of the next answer, with each line end shown as "|". If the connection ends first,
// it returns the bytes so far followed by "end".
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
