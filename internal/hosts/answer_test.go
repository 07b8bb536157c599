package hosts

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/bufconn"
	"ravensill/internal/golden"
	"ravensill/internal/resp"
)

// parseTrace parses the text of an answer and returns the result, the value, the reports and the error in one line.
func parseTrace(text string) string {
	in := bufconn.NewBuffer(resp.MaxValueBytes)
	in.Write([]byte(text))
	var parser resp.Parser
	parsed, complete, err := parser.Next(in)
	if err != nil || !complete {
		return fmt.Sprintf("complete %t, %v", complete, err)
	}
	var event gateway.Event
	value, err := parseAnswer(parsed, []string{"outstanding", "utilization"}, &event)
	return fmt.Sprintf("result %d, value %q, null %t, used %d, %g units, load %v, %v",
		event.Result, value, value == nil, event.Usage, event.Units, event.LoadReport, err)
}

func TestParseAnswer(t *testing.T) {
	answers := []string{
		"*3\r\n$2\r\nab\r\n$14\r\nused=37,cost=4\r\n$30\r\noutstanding=7,utilization=0.61\r\n",
		"*3\r\n$2\r\nab\r\n$-1\r\n$-1\r\n",
		"*1\r\n$0\r\n\r\n",
		"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
		"*2\r\n$1\r\na\r\n$4\r\nused\r\n",
		"*2\r\n$1\r\na\r\n$7\r\nused=-1\r\n",
		"*4\r\n$1\r\na\r\n$-1\r\n$-1\r\n$-1\r\n",
		"-ERR failed\r\n",
		"-ERR failed used=120 utilization=1\r\n",
		"-ERR failed utilization=x\r\n",
		"-BUSY\r\n",
		"-BUSY used=5 outstanding=9\r\n",
		"-SYNTAX no\r\n",
		"$16\r\nutilization=0.25\r\n",
		"$-1\r\n",
		"+PONG\r\n",
		":1\r\n",
		"*3\r\n$2\r\nab\r\n$-1\r\n",
	}
	var trace strings.Builder
	for _, answer := range answers {
		fmt.Fprintf(&trace, "%q\n  %s\n", answer, parseTrace(answer))
	}
	golden.Check(t, trace.String())
}

// FuzzParseAnswer checks that parsing doesn't panic, whatever the answer.
func FuzzParseAnswer(f *testing.F) {
	f.Add("*3\r\n$2\r\nab\r\n$14\r\nused=37,cost=4\r\n$16\r\nutilization=0.61\r\n")
	f.Add("-ERR failed used=1 utilization=0.1\r\n")
	f.Fuzz(func(t *testing.T, answer string) { parseTrace(answer) })
}

// TestConnKeepsNoMemoryOfLargeAnswer guards against idle connections that each hold as much memory as their latest
// answer took.
func TestConnKeepsNoMemoryOfLargeAnswer(t *testing.T) {
	value := strings.Repeat("v", resp.MaxBulkBytes)
	addr := serveConns(t, func(_ int, c *net.TCPConn) {
		answerEach(c, func(string) bool {
			fmt.Fprintf(c, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
			return true
		})
	})
	loop := newTestLoop(t, addr, manyConns)
	c := &conn{pool: &hostPool{transport: loop.Transport}, addr: netip.MustParseAddrPort(addr)}
	link, err := c.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	var parser resp.Parser
	for range 2 {
		link.Out.Write([]byte("*1\r\n$4\r\nPING\r\n"))
		if err := link.Flush(); err != nil {
			t.Fatal(err)
		}
		got, err := c.readAnswer(link, &parser)
		if err != nil || string(got.value) != value || got.hasTrailingBytes {
			t.Fatalf("a value of %d bytes, trailing %t, %v", len(got.value), got.hasTrailingBytes, err)
		}
		if free := len(link.In.FreeSpace()); free > 4<<10 { // what a buffer without memory allocates at first
			t.Errorf("the connection holds %d bytes after its answer", free)
		}
	}
}
