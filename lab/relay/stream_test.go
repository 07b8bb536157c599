package relay

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// blockedWait is how long a test waits for what must not arrive.
const blockedWait = 100 * time.Millisecond

// startEcho starts a server that echoes, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	return listener.Addr().String()
}

// A stream stops while its link is blocked and goes on where it was; a reset ends it.
func TestStreamGoesOnAfterPartition(t *testing.T) {
	relay := New(1)
	defer relay.Close()
	stream, err := relay.AddStream("a", "b", startEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp4", stream.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitLimit))
	echo := bufio.NewReader(conn)
	wantEcho := func(want string) {
		t.Helper()
		if got, err := echo.ReadString('\n'); got != want {
			t.Fatalf("%q %v, want %q", got, err, want)
		}
	}
	io.WriteString(conn, "one\n")
	wantEcho("one\n")

	relay.Partition("cut", []string{"a"}, []string{"b"})
	io.WriteString(conn, "two\n")
	conn.SetReadDeadline(time.Now().Add(blockedWait))
	if got, err := echo.ReadString('\n'); err == nil {
		t.Errorf("%q passed a blocked link", got)
	}
	conn.SetReadDeadline(time.Now().Add(waitLimit))
	relay.SetRules("cut")
	wantEcho("two\n")

	relay.ResetStreams([]string{"a"}, nil)
	if got, err := echo.ReadString('\n'); err == nil {
		t.Errorf("%q after a reset", got)
	}
	if open, opened := stream.ConnCounts(); open != 0 || opened != 1 {
		t.Errorf("%d open of %d", open, opened)
	}
}
