package bufconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"ravensill/internal/sockets"
	"ravensill/internal/sockets/socketstest"
)

// TestWrap checks that bytes come out in the order written, around the end of the buffer and while it grows.
func TestWrap(t *testing.T) {
	r := NewBuffer(4 * minSize)
	var want, got []byte
	for i := 0; len(want) < 40*minSize; i++ {
		p := bytes.Repeat([]byte{byte(i)}, 1+i*37%1500)
		if !r.Write(p) {
			t.Fatalf("no room for %d beside %d", len(p), r.Len())
		}
		want = append(want, p...)
		for r.Len() > 2*minSize {
			n := min(r.Len(), 1+i*53%700)
			span := r.Span(0, n)
			if at := r.At(n - 1); at != span[n-1] {
				t.Fatalf("At %d, Span %d", at, span[n-1])
			}
			got = append(got, span...)
			r.Drop(n)
			r.ReleaseSpans()
		}
	}
	for r.Len() > 0 {
		p := r.Head()
		got = append(got, p...)
		r.Drop(len(p))
	}
	if !bytes.Equal(got, want) {
		t.Error("bytes changed on the way")
	}
	if r.Write(make([]byte, 4*minSize+1)) || r.Len() != 0 {
		t.Error("took more than its most")
	}
	if !r.Write(make([]byte, 4*minSize)) || r.FreeSpace() != nil {
		t.Error("gave room when full")
	}
}

// pair returns the two ends of a connection.
func pair(t testing.TB) (near, far net.Conn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if near, err = net.Dial("tcp4", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return near, far
}

// TestSlowPeer checks that Flush returns at once with a peer that reads nothing, and that the rest is written later.
func TestSlowPeer(t *testing.T) {
	near, far := pair(t)
	link, err := NewLink(sockets.Kernel{}, near.(*net.TCPConn), 1<<20, 64<<20)
	if err != nil {
		t.Fatal(err)
	}
	want := bytes.Repeat([]byte("ravensill"), 4<<20)
	link.Out.Write(want)
	if err := link.Flush(); err != nil || link.Out.Len() == 0 {
		t.Fatalf("left %d, error %v", link.Out.Len(), err)
	}
	got := make([]byte, 0, len(want))
	for buf := make([]byte, 1<<20); len(got) < len(want); {
		n, err := far.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, buf[:n]...)
		if err := link.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(got, want) {
		t.Error("bytes changed on the way")
	}
}

// TestNoDelay checks that the system delays no small write, on dialed and accepted connections: a reset that follows would
// discard it.
func TestNoDelay(t *testing.T) {
	near, far := pair(t)
	for _, c := range []net.Conn{near, far} {
		link, err := NewLink(sockets.Kernel{}, c.(*net.TCPConn), 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		link.raw.Control(func(fd uintptr) {
			if v, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); v == 0 || err != nil {
				t.Error(v, err)
			}
		})
	}
}

// newLinkPair returns the driver of one end of a connection, and the other end.
func newLinkPair(t *testing.T) (link *Link, far *net.TCPConn) {
	near, peer := pair(t)
	link, err := NewLink(sockets.Kernel{}, near.(*net.TCPConn), 1<<20, 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	return link, peer.(*net.TCPConn)
}

// waitFor waits for a state that the system brings about.
func waitFor(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("never: %s", what)
		}
	}
}

// TestDiscardPace checks that the end of a peer that has closed is read within a tenth of a second, behind all that the systems
// may hold of its bytes: attempts for it that begin later break the rules.
func TestDiscardPace(t *testing.T) {
	const chunks = MaxHeldBytes / DiscardChunk
	if took := chunks * DiscardPause; took > 100*time.Millisecond {
		t.Errorf("%v for %d bytes", took, MaxHeldBytes)
	}
}

// TestCloseIfQuiet checks that a connection is closed only if nothing has come since the reads that the caller knows of, and that
// no later read takes anything from it.
func TestCloseIfQuiet(t *testing.T) {
	closers := map[string]func(link *Link, reads int64) bool{
		"close":       (*Link).CloseIfQuiet,
		"close write": func(link *Link, reads int64) bool { return link.CloseWriteIfQuiet(reads, time.Minute) },
	}
	for name, close := range closers {
		t.Run(name, func(t *testing.T) {
			link, far := newLinkPair(t)
			far.Write([]byte("a"))
			waitFor(t, "a byte has come", func() bool { return !link.socketEmpty() })
			if close(link, 0) {
				t.Error("closed over an unread byte")
			}
			if err := link.Read(); err != nil {
				t.Fatal(err)
			}
			if close(link, 0) {
				t.Error("closed over a byte that the caller does not know of")
			}
			if !close(link, 1) {
				t.Error("not closed though nothing has come")
			}
			if n, err := far.Read(make([]byte, 1)); n > 0 || err != io.EOF {
				t.Errorf("the peer reads %d bytes, %v", n, err)
			}
		})
	}
}

// TestCloseIfQuietUnderRead checks that CloseIfQuiet ends a read that waits for bytes, and one that is about to take some.
func TestCloseIfQuietUnderRead(t *testing.T) {
	for range 200 {
		link, far := newLinkPair(t)
		ended := make(chan error)
		go func() { ended <- link.Read() }()
		go far.Write([]byte("a"))
		closed := link.CloseIfQuiet(0)
		err := <-ended
		if closed != (err != nil) || closed == (link.Reads() > 0 && link.In.Len() > 0) {
			t.Fatalf("closed %t, read %v, %d bytes", closed, err, link.In.Len())
		}
	}
}

// TestFaultyDescriptor checks that calls that are interrupted, move a part or move nothing lose and repeat no byte, and that other
// errors are returned as they are.
func TestFaultyDescriptor(t *testing.T) {
	fault := func(errno syscall.Errno, bytes int) *socketstest.Fault {
		return &socketstest.Fault{Errno: errno, Bytes: bytes}
	}
	for _, test := range []struct {
		name   string
		reads  []*socketstest.Fault
		writes []*socketstest.Fault
		err    syscall.Errno // of the first call that fails for good; 0: none
	}{
		{name: "none"},
		{name: "interrupted", reads: []*socketstest.Fault{fault(syscall.EINTR, 0), fault(syscall.EINTR, 0)},
			writes: []*socketstest.Fault{fault(syscall.EINTR, 0), fault(syscall.EINTR, 0)}},
		{name: "short", reads: []*socketstest.Fault{fault(0, 1), fault(0, 2), nil, fault(0, 3)},
			writes: []*socketstest.Fault{fault(0, 1), fault(0, 2), fault(0, 3)}},
		{name: "would block after a part", writes: []*socketstest.Fault{fault(0, 2), fault(syscall.EAGAIN, 0), fault(0, 1), fault(syscall.EAGAIN, 0)}},
		{name: "writes nothing", writes: []*socketstest.Fault{fault(0, 0), fault(0, 1), fault(0, 0)}},
		{name: "read times out", reads: socketstest.Errors(syscall.ETIMEDOUT), err: syscall.ETIMEDOUT},
		{name: "read finds no host", reads: socketstest.Errors(syscall.EHOSTUNREACH), err: syscall.EHOSTUNREACH},
		{name: "read reset", reads: socketstest.Errors(syscall.ECONNRESET), err: syscall.ECONNRESET},
		{name: "write times out", writes: socketstest.Errors(syscall.ETIMEDOUT), err: syscall.ETIMEDOUT},
		{name: "write to a closed one", writes: socketstest.Errors(syscall.EPIPE), err: syscall.EPIPE},
		{name: "write out of memory", writes: socketstest.Errors(syscall.ENOBUFS), err: syscall.ENOBUFS},
	} {
		t.Run(test.name, func(t *testing.T) {
			near, far := pair(t)
			system := socketstest.New(1, nil)
			system.Script(socketstest.Read, test.reads...)
			system.Script(socketstest.Write, test.writes...)
			sender, err := NewLink(system, near.(*net.TCPConn), 1<<10, 1<<10)
			if err != nil {
				t.Fatal(err)
			}
			receiver, err := NewLink(system, far.(*net.TCPConn), 1<<10, 1<<10)
			if err != nil {
				t.Fatal(err)
			}
			want := []byte("0123456789")
			sender.Out.Write(want)
			err = nil
			for flushes := 0; sender.Out.Len() > 0 && err == nil; flushes++ {
				if flushes > len(test.writes) {
					t.Fatalf("%d flushes leave %d bytes", flushes, sender.Out.Len())
				}
				err = sender.Flush()
			}
			for err == nil && receiver.In.Len() < len(want) {
				err = receiver.Read()
			}
			switch {
			case test.err != 0:
				if !errors.Is(err, test.err) {
					t.Errorf("%v, want %v", err, test.err)
				}
			case err != nil || !bytes.Equal(receiver.In.Span(0, receiver.In.Len()), want):
				t.Errorf("%v; %q", err, receiver.In.Span(0, receiver.In.Len()))
			}
		})
	}
}

// BenchmarkReading compares a ring with a bufio.Reader in front of a ring, for commands of 120 bytes in writes of one command.
func BenchmarkReading(b *testing.B) {
	command := bytes.Repeat([]byte("c"), 120)
	for _, buffered := range []bool{false, true} {
		b.Run(map[bool]string{false: "ring", true: "bufio and ring"}[buffered], func(b *testing.B) {
			near, far := pair(b)
			link, err := NewLink(sockets.Kernel{}, far.(*net.TCPConn), 1<<16, 1<<16)
			if err != nil {
				b.Fatal(err)
			}
			r := bufio.NewReaderSize(far, 4096)
			b.ReportAllocs()
			for b.Loop() {
				near.Write(command)
				for link.In.Len() < len(command) {
					if !buffered {
						link.Read()
						continue
					}
					r.Peek(1)
					p, _ := r.Peek(r.Buffered())
					link.In.Write(p)
					r.Discard(len(p))
				}
				link.In.Drop(link.In.Len())
			}
		})
	}
}

// TestCloseUnderRead checks that the connection is closed when Close returns, though a Read waits on it: an attempt that begins
// after an earlier one was given up must not run beside it.
func TestCloseUnderRead(t *testing.T) {
	near, _ := pair(t)
	link, err := NewLink(sockets.Kernel{}, near.(*net.TCPConn), 1<<10, 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	var socket int
	link.raw.Control(func(fd uintptr) { socket = int(fd) })
	waits, pull := make(chan struct{}), link.readFunc
	link.readFunc = func(fd uintptr) bool {
		defer close(waits)
		return pull(fd)
	}
	ended := make(chan error)
	go func() { ended <- link.Read() }()
	<-waits // nothing has come: it waits, or is about to, and holds the descriptor
	link.Close()
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, uintptr(socket), syscall.F_GETFD, 0); errno != syscall.EBADF {
		t.Errorf("the descriptor is open still: %v", errno)
	}
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}
